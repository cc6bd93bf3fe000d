// Package ownership decides which node runs a batch job once its owner is gone, without
// I/O and without a clock: whether this node takes a job over now (Decide), whether the
// record that it then reads still allows it (DecideReplace), and whether the job may start
// once it has been read (DecideStart).
//
// Each job has a rank of nodes for its id, less its owner. The first Watchers of them
// hear each heartbeat of the owner and take over one after the other, so that mostly one
// node tries. All other nodes wait for much longer and ask the owner first. The first
// Locators in rank hear of a job's start and end in a deployment whose nodes are too many
// for all of them to.
//
// Two nodes that decide differently do no harm: the store's conditional replace of the
// record lets one of them win, and a fence in the results keeps the former owner out.
//
// The package owns no state and relies on rendezvous for the ranks alone.
package ownership
