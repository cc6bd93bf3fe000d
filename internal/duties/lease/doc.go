// Package lease elects the node that performs the duties of the deployment, the tasks that
// only one node at a time may perform: ordering loads of weights, ordering replicas
// from the platform, reporting usage, and allotting requests to warming replicas. A single
// lease, an object in the metadata store, covers all duties, so that one write renews it for
// all of them.
//
// # State
//
// The package owns the lease object and each process's view of it (state). It relies on
// the store's conditional writes, on a boot-time clock, which keeps counting while the
// machine is suspended (internal/clock), and on heartbeats to spread observations of the
// lease.
//
// States of one node's view of the lease:
//
//	state        meaning                                 may call  next action
//	unknown      nothing has been observed               no        read, then as below
//	other        another node wrote the newest revision  no        wait, read, replace the revision
//	released     the holder released the lease           no        read, replace the revision
//	held         this node's write was confirmed, its    yes       renew before the window ends
//	             send window has not ended
//	expired      as held, but the send window has ended  no        write: either no other node may
//	                                                               call yet, or the write conflicts
//	unconfirmed  this node's write was not answered      no        read: it may still be applied
//	stopped      this node performs no more duties       no        none
//
// state.decide returns the next action, state.mayRelease whether a stopping holder may
// release the lease, and takeoverDelay how long a node waits for the nodes that precede it
// in the order of succession.
//
// # Guarantees
//
// The fencing token of a call is the store's revision of the write that last renewed the
// lease, so tokens only increase. Receivers need not check them, because timing also keeps
// the calls of different holders apart:
//
//   - A holder sends no call later than SendWindow after it sent the write that renewed
//     the lease.
//   - A successor waits for SendWindow, the takeover gap and a margin after it first
//     observed the last write.
//   - So the calls of two holders are at least the takeover gap apart, unless the former
//     holder released the lease.
//   - A holder releases the lease only if it has held it for longer than the takeover gap,
//     so that its own predecessor has sent nothing for that long, and only if none of its
//     own calls is open or may still arrive.
//
// A restarted process knows nothing of the tenure of the previous process. Receivers treat
// both as the same holder, so the new process need not wait.
package lease
