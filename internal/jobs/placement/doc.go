// Package placement holds the scheduling rules for the items of batch jobs: in which
// order items run (RankItems, Compare), at which replica (Pick), when a run has stalled
// (Stalled), which runs continue at another replica (Moves), and why a job was late
// (WhyLate).
//
// It owns no state: each rule is a function of the views that its caller passes.
// EventRate and Pace are estimators whose values the caller keeps.
//
// It relies on its caller for the views and their consistency: all times of a view are of
// one instant, and the replicas of one decision are shared by pointer among the items and
// runs that may use them, so that a load counted for one is seen by all.
//
// It guarantees that it does no I/O, reads no clock, takes no lock and draws no random
// numbers: the same views in the same order give the same decisions. Only Moves changes a
// view: it adds a moved run to the load of its new replica. The exported functions return
// no errors. Values of EventRate, Pace and Replica may not be used concurrently.
package placement
