// Package ownership decides which node takes over a batch job whose owner has failed: whether
// this node takes the job over now (Decide), whether the record in the store still permits it
// (DecideReplace), and whether the job may start after it was read (DecideStart).
//
// The nodes other than the owner are ranked per job by rendezvous hashing. The first Watchers
// nodes receive each heartbeat of the owner and take over after increasing delays, so that
// usually only one node attempts it. All other nodes wait much longer and probe the owner
// first. In a deployment with many nodes, only the first Locators nodes for a job are notified
// of its start and end.
//
// Conflicting decisions of two nodes are safe: the conditional replace of the record in the
// store succeeds for only one of them, and a fence in the results rejects later appends of the
// former owner.
//
// The package holds no state, does no I/O and reads no clock.
package ownership
