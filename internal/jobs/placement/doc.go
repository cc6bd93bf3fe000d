// Package placement implements the scheduling rules for the items of batch jobs: the order
// in which items run (RankItems, Compare, Sort), the replica that runs an item (Pick), when a
// run has stalled (Stalled), which runs move to another replica (Moves), and why a job was
// late (ClassifyLateness). Where jobs compete for slots that decide whether they are in time
// (CompletionCritical), it also decides which steps can be in time (CanBeInTime), which free
// slots are left to other owners (LeavesSlot), and which runs give up theirs (Yields).
//
// If the longest texts of a job would be late at a part of the replicas (CompletionCritical),
// other rules apply, which keep fast replicas free for long items: PickByCompletion and
// MovesByCompletion instead of Pick and Moves, and ListingDue for when results are listed. They
// respond to replicas of uneven speed under load; see docs/design/item-placement.md.
//
// The package holds no state. Each rule is a function of the views that the caller passes;
// EventRate, Pace and UsualPace are estimators that the caller stores.
//
// The caller must pass consistent views: all times in a view refer to the same instant, and
// the replicas of one decision are shared by pointer among the items and runs that may use
// them, so that a change of a replica's load is visible to all of them.
//
// The rules are deterministic: they do no I/O, read no clock, take no lock and use no random
// numbers. Only Moves and MovesByCompletion modify views: they add each moved run to the load
// of its new replica. EventRate, Pace, UsualPace and Replica are not safe for concurrent use.
package placement
