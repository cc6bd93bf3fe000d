// Package weightorders brings the weight versions that trainers name onto the replicas.
// One node at a time gives orders, each under a permit of the duty lease
// (internal/duties/lease); the versions that replicas have are learned from the
// directory, from orders, and from the heartbeats of the former holder.
//
// Which replica loads which version when is decided without input or output:
//
//  1. sharesOf and apportion (share.go): how many replicas of a service each of its
//     models has, by the work that its jobs bring;
//  2. homes (homes.go): which replicas these are, the model's homes;
//  3. tasksOf (plan.go): which homes lack the named version, and whether they can do
//     without it for now;
//  4. chooseLoads (queue.go): which of them load next, of which model, and how many at
//     a time.
//
// Coordinator carries that out (load.go): it asks the replica, orders the load, and asks
// again until the replica has the version, the load times out, or the replica turns out
// to have taken no order. A replica whose load failed is left alone for retryDelay.
//
// A Coordinator owns what this node has learned of replicas' versions. All of it can be
// lost: the next holder of the lease learns it again.
package weightorders
