// Package quarantine keeps requests that crash replicas from further replicas.
//
// A request may crash every replica that begins to run it, and its caller sends it again
// under another id and through another node. The package identifies such requests by a
// fingerprint, checks whether the replica of a broken run has ended, and counts these ends
// together with the other nodes. policy.go has the rules: which breaks count, when a request
// is put in quarantine, and what a node does then.
//
// A request is in one of three states at a node: unknown; suspect, with one or two ends in
// the Ledger; or held, in the Table, for Config.Span. An end counted makes it suspect, the
// third one held. A whole answer makes it unknown again, and so does time.
//
// A Service owns the node's ledger, its table of held requests and the pending writes to the
// store's record. It relies on the store for requests held before the node started, on its
// peers for ends that other nodes saw, and on package dispatch to ask Admit before each
// sending. It guarantees that at most endsToQuarantine replicas end under a request while
// nodes reach each other. docs/design/request-quarantine.md says what else was weighed.
package quarantine
