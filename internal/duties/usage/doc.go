// Package usage reports to the platform how many requests of each tenant began to
// run in each window of time.
//
// Each node counts the requests that it brings to replicas, by tenant and window,
// and pushes its counts to the node that holds the duty lease and to those that
// would follow it. Counts are those since the process started, so that a push that
// is repeated or overtaken does no harm: receivers keep the greatest. The holder
// adds up what it has been told some time after a window has ended, has the sum
// settled in the metadata store, and reports it. Whoever holds the lease next
// reports the same sum: two reports of a window never differ.
//
// What cannot be known is not reported: a window during which this node was not
// running, and of which nobody has told it anything.
package usage
