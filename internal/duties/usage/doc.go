// Package usage reports to the platform how many requests of each tenant began to
// run in each window of time.
//
// Each node counts the requests that it sends to replicas, by tenant and window (Counter),
// and pushes its counts to the holder of the duty lease and to those that would follow it
// (pusher). Counts are those since the process started, so that a push that is repeated or
// overtaken does no harm: receivers keep the greatest (collector). Some time after a window
// has ended the holder adds up what it has received, settles the sum in the metadata store
// (ledger), and reports it (report.go). The next holder of the lease reports the same sum:
// two reports of a window never differ.
//
// What cannot be known is not reported: a window during which this node was not running,
// and of which it has received no counts.
//
// It owns the ledger, and in each process the counts of the last windows. It relies on the
// duty lease, on peers for pushes, and on an estimate of the true time (Clock), since
// windows are numbered by it.
package usage
