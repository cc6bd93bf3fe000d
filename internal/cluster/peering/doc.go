// Package peering keeps a node's list of its peers and carries heartbeats
// between them. Nodes find one another through their entries in the metadata
// store, which each follows as it does the other kinds, or through seeds while
// the store is away. Only a node that has something to tell sends heartbeats:
// one that runs batch jobs or gives orders to replicas. They go to other such
// nodes and to a few watchers, whose number does not depend on how many nodes
// there are; rare changes go to all.
package peering
