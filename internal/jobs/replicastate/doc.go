// Package replicastate holds a node's information about replicas that run items of batch
// jobs: how many items they run for all nodes, the time between their events, the weight
// versions that they have or load, their failure rates, and until when they are blocked.
//
// The sources are this node's own runs, the heartbeats of the other nodes (NodeSlotUse) and
// the weights coordinator. The information is held in memory and expires after the time
// in the respective constant. Without information, all replicas are treated alike. Package
// placement decides based on this information; package directory lists the replicas.
//
// The types have no locks. The caller must guard them, so that the queue and the loads of the
// replicas change together.
package replicastate
