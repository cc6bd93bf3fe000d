// Package weightorders brings the weight versions that trainers name onto the
// replicas. One node at a time gives orders, under a lease that is a write on
// condition to the metadata store. Replicas need not check fencing tokens, so
// the lease is fenced by time as well: its holder gives no order later than a
// short while after it sent the write, by its steady clock, and a successor
// waits that while and the lease's term from when it first saw the write.
package weightorders
