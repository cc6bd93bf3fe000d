// Package weightorders rolls out weight versions to the replicas. When a trainer names a new
// version of a model, the holder of the duty lease (internal/duties/lease) orders replicas
// to load it, each order under a permit of the lease. It learns the versions that replicas
// have loaded from the directory, from the replicas themselves, and from the heartbeats of
// other nodes.
//
// The decisions are made without I/O:
//
//  1. sharesOf and apportion (share.go) divide the replicas of a service among its models
//     in proportion to their demand.
//  2. homes (homes.go) assigns replicas to each model, its homes. Where the speeds of the
//     replicas count, homesBySpeed (speed_homes.go) does so instead.
//  3. tasksOf (plan.go) lists the homes that lack the named version, and whether each load
//     is required or optional.
//  4. chooseLoads (queue.go) selects the loads to start next, within the limits on
//     concurrent loads.
//
// speedTracker (speeds.go) decides whether speeds count. They serve deployments in which steps
// with long texts run on replicas of different speeds.
//
// Coordinator executes them (load.go): it reads the replica's status, orders the load, and
// polls until the replica has the version, the load times out, or the replica appears not
// to have accepted the order. After a failed load the replica gets no order for retryDelay.
//
// A Coordinator owns this node's knowledge of the replicas' versions. It is not persisted:
// the next holder of the lease learns it again.
package weightorders
