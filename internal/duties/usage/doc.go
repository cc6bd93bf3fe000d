// Package usage reports to the platform the number of requests of each tenant that began to
// run in each time window.
//
// Each node counts the requests that it sends to replicas, by tenant and window (Counter),
// and pushes its counts to the holder of the duty lease and its first successors (pusher).
// The counts of a window are cumulative, and receivers keep the greatest one, so that
// repeated and reordered pushes are harmless (collector). Some time after a window has
// ended, the holder sums the counts that it has received, settles the sum in the metadata
// store (ledger), and reports it (report.go). A settled sum never changes, so that reports of
// the same window by different holders never differ.
//
// A window is not reported if this node was not running during all of it and has received
// no counts for it: whether there were any requests is unknown.
//
// The package owns the ledger and, in each process, the counts of recent windows. It relies
// on the duty lease, on peers to deliver pushes, and on an estimate of the true time
// (Clock), which determines the window numbers.
package usage
