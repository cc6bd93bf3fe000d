// Package quarantine keeps requests that crash replicas from further replicas.
//
// A request may end every replica that begins to run it, and its caller sends it again
// under another id and through another node. The package tells such requests by a
// fingerprint, finds out whether the replica of a broken run has ended, and counts the
// ends together with the other nodes. docs/design/request-quarantine.md says who decides,
// where state lives, and what else was weighed.
package quarantine
