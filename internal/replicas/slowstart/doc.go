// Package slowstart keeps what a whole deployment sends to a replica that warms up
// below what the replica bears.
//
// One node, the holder of the duty lease, allots counts of requests that expire
// (Allotter, Ledger). Nodes that would send to such a replica ask it (Asker), and a
// Gate before each replica lets a request pass only against an allotment. Whatever
// fails, there is none, and the replica is left alone until it is warm.
//
// An allotment may be used from the receipt of the question until a span after the
// question was sent, by the asker's boot-time clock. Since the question was sent before
// it was received, the allotter knows an interval that holds all uses without any
// common clock. docs/design/slow-start.md weighs this against other ways.
package slowstart
