// Package autoscale scales the services whose replicas can be ordered from the platform. It
// decides on the target number of replicas in each zone, and orders them under the duty
// lease.
//
// Two pure functions make the decisions: Decide computes the target of each zone, with its
// reason, from a ServiceState, and isDue decides whether an order is sent now. Service
// collects their inputs, records the orders in the metadata store, so that the next holder
// of the lease continues from them, and sends them. Nothing is ordered unless a policy is
// set.
//
// The package owns the recorded orders (ledger), one object per service. An order is
// recorded before it is sent. The package relies on the directory for the replicas and on
// the batch jobs for the work.
package autoscale
