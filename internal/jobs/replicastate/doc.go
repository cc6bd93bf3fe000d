// Package replicastate keeps what a node knows of replicas as places for the items of
// batch jobs: how many items run there, from all nodes; how fast their events come; which
// weight versions they have or load; how often they fail; and whether they are to be left
// alone for a while.
//
// It learns from this node's own runs, from the heartbeats of the other nodes (NodeUses)
// and from the coordinator of weights. All of it is in memory and is believed for a time
// that each constant names; a node that knows nothing treats all replicas alike. Package
// placement decides from it; the directory has which replicas there are.
//
// The types have no lock: their caller guards them, so that an item's place in the queue
// and the load of its replica change together.
package replicastate
