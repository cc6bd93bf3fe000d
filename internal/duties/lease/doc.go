// Package lease lets one node at a time do what is to be done once for the whole
// deployment: order weights, report usage, allot requests to warming replicas. One
// lease, an object in the metadata store, covers all duties, so that one write keeps
// them all.
//
// The receivers of duty calls need not check fencing tokens, so the lease is
// fenced by time as well: its holder sends no call later than SendWindow after it
// sent the write that renewed the lease, by its boot-time clock, and a successor
// waits that long and the lease's term from when it first saw that write. The
// token is the store's revision of the write, so that it rises with each renewal.
//
// What one node knows of the lease, and what follows:
//
//	state     known                                     may send   next
//	unknown   nothing has been seen                     no         read, then as below
//	other     another node wrote the newest revision    no         wait, read, write if it still stands
//	released  its holder stopped and gave it up         no         read, write if it still stands: no wait
//	held      this node's write was answered            until      renew before the window ends
//	                                                    window ends
//	expired   this node's write, its window has ended   no         write at once: nobody else may send yet,
//	                                                               or the write fails on its condition
//	unsure    this node's write had no answer           no         read first: it may be done yet
//	stopped   this node gave the lease up               no         none
//
// A process that is started anew on the same node knows nothing of its former
// one's tenure. Both are the same holder to receivers, so it need not wait for
// itself.
//
// No two holders take turns within the term. Without a release a successor waits
// longer than that. A holder releases the lease only after it has held it for the
// term and more, so that whoever held it before has sent nothing for as long; and
// only when no call of its own is open or has ended without an answer of late, so
// that none arrives after its successor's first.
package lease
