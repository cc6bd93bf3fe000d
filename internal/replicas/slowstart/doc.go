// Package slowstart limits the rate of requests from all nodes to a replica that is warming
// up.
//
// One node, the holder of the duty lease, allots permits (Allotter, Ledger, Limits). The
// other nodes request permits from it (Client). The Gate of a warming replica lets a request
// pass only if it uses a permit. After a failure of the allotter or the network there are no
// permits, and the replica gets no requests until it is warm.
//
// A gate is either open (the replica is warm, or the gate was never closed), or closed with
// zero or more permits. Client.SetWarming closes gates. They open when the warm-up time ends
// or the replica is listed as warm.
//
// The package relies on the duty lease to ensure that there is at most one allotter at a
// time, and on boot-time clocks, which do not stop while a machine is suspended. The clocks of
// the nodes need not be synchronized.
//
// The number of permits used at a replica in any second stays within Limits: a permit is
// used between the receipt of the request for it and PermitLifetime after that request was
// sent, and the ledger counts it for all of that time. See docs/design/slow-start.md.
package slowstart
