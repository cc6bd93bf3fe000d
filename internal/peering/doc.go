// Package peering keeps a node's list of its peers and carries heartbeats
// between them. Nodes find one another through the metadata store, or through
// seeds while the store is away. Only a node that has something to tell sends
// heartbeats: one that runs batch jobs or gives orders to replicas.
package peering
