// Package lease elects the one node that does what is done once for the whole
// deployment: ordering weights, ordering replicas, reporting usage, allotting requests
// to warming replicas. One lease, an object in the metadata store, covers all duties,
// so that one write renews them all.
//
// # State
//
// The package owns the lease object and, in each process, what that process knows of
// it (state). It relies on the store's conditional writes, on a clock that counts
// suspensions of the machine (internal/clock), and on heartbeats to spread
// observations of the lease.
//
// What one node knows of the lease, and what follows:
//
//	state     known                                   may call    next
//	unknown   nothing                                 no          read, then as below
//	other     another node wrote the newest revision  no          wait, read, replace that revision
//	released  its holder gave the lease up            no          read, replace that revision
//	held      this node's write was confirmed         until the   renew before the window ends
//	                                                  window ends
//	expired   as held, but the window has ended       no          write: no other node may call yet,
//	                                                              or else the write's condition fails
//	unsure    this node's write had no answer         no          read: the write may still be applied
//	stopped   this node has given up its duties       no          none
//
// state.decide returns the next step, state.mayRelease whether a stopping holder may
// give the lease up, and takeoverDelay how long each node leaves the lease to the
// nodes before it.
//
// # Guarantees
//
// The token of a call is the store's revision of the write that last renewed the
// lease, so tokens only rise. Receivers need not check them: the lease is fenced by
// time as well.
//
//   - A holder sends no call later than SendWindow after it sent the write that renewed
//     the lease.
//   - A successor waits for SendWindow, the term and a margin after it first observed
//     the last write.
//   - So calls of two holders are never less than the term apart, unless the former
//     one released the lease.
//   - A holder releases the lease only after it has held it for longer than the term,
//     so that its own predecessor has sent nothing for that long, and only when no call
//     of its own is open or may still arrive.
//
// A restarted process knows nothing of the previous one's tenure. Both are the same
// holder to receivers, so it need not wait for itself.
package lease
