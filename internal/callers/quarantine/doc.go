// Package quarantine keeps requests that crash replicas from being sent to more replicas.
//
// A request may crash every replica that starts to run it, and its caller may retry it with
// another id and through another node. The package identifies such a request by its
// fingerprint, checks whether the replica of a broken run has crashed, and counts the crashes
// together with the other nodes. policy.go holds the rules: which broken runs count, when a
// request is quarantined, and what a node does then.
//
// At each node a request is in one of three states: unknown; suspect, with fewer than
// crashesToQuarantine crashes in the CrashTracker; or quarantined, in the Table, for
// Config.Duration. The first crash makes a request suspect, and the last of crashesToQuarantine
// quarantines it. A successful response makes it unknown again, and so does the passing of
// time.
//
// Items of batch jobs and calls of their scorers are never quarantined: the deployment has
// accepted them, and replicas crash under them for other reasons. Such crashes only delay their
// next attempt, and each node counts its own.
//
// A Service owns the node's CrashTracker, its Table and the pending writes to the record in the
// store. It learns of requests quarantined before the node started from the store, and of
// crashes that other nodes saw from its peers. Package dispatch calls Admit before each
// attempt.
//
// Guarantee: while nodes reach each other, a live request crashes at most crashesToQuarantine
// replicas. The design is in docs/design/request-quarantine.md.
package quarantine
