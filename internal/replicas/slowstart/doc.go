// Package slowstart bounds what all nodes together send to a replica that is warming up.
//
// One node, the holder of the duty lease, allots permits for requests (Allotter, Ledger,
// Limits). Nodes that would send to such a replica ask it for permits (Client), and a Gate
// at each replica lets a request pass only against one. Where anything fails there are no
// permits, and the replica gets nothing until it is warm.
//
// A gate is open (the replica is warm, or the gate was never closed), or closed with a
// number of permits, which may be none. Client.SetWarming closes gates; time or a listing
// of the replica as warm opens them.
//
// A Client owns the closed gates of its node, an Allotter the ledger of what it allotted.
// The package relies on the duty lease for at most one allotter at a time, and on
// boot-time clocks, which go on while a machine is suspended, but not on any common clock.
//
// It guarantees that in any window the permits used at a replica stay within Limits: a
// permit is used between the receipt of the request for it and Span after that request was
// sent, and the ledger counts it for that whole time. docs/design/slow-start.md says why.
package slowstart
