// Package autoscale decides how many replicas each zone is to hold of the services
// whose replicas can be ordered, and orders them under the duty lease.
//
// Decide is pure: a view of the fleet and of the work goes in, the counts wanted in
// each zone come out, each with its reason. Service feeds it, keeps what was ordered
// in the metadata store, so that a further holder of the lease goes on from there,
// and sends the orders. Nothing is ordered unless a policy is set.
package autoscale
