// Package autoscale decides how many replicas each zone is to hold of the services
// whose replicas can be ordered, and orders them under the duty lease.
//
// Two pure functions decide: Decide how many replicas each zone is to hold, from a View of
// the replicas and of the work, each with its reason; isDue whether a zone's order is sent
// now. Service feeds them, keeps what was ordered in the metadata store, so that the next
// holder of the lease goes on from there, and sends the orders. Nothing is ordered unless
// a policy is set.
//
// It owns the stored orders (ledger), one object a service, which are written before an
// order is sent. It relies on the directory for the replicas and on the batch jobs for the
// work.
package autoscale
