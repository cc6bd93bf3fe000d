package placement

import "time"

// Run is a view of a run of an item at a replica.
type Run struct {
	// Index identifies the run to the caller.
	Index int
	// Replica is the name of the replica that runs the item.
	Replica string
	// Replicas are the candidates that the item may move to.
	Replicas []*Replica
	// FailedReplicas names the replicas at which the item has failed.
	FailedReplicas []string
	// Events is the number of events that the run has received.
	Events int
	// RemainingEvents is the expected number of further events of the item.
	RemainingEvents int
	// Work is the remaining work of the item, and Critical is set if its job depends on the
	// speed of replicas.
	Work     Work
	Critical bool
	// Reserve is set if the trainer does not need to wait for the item's group.
	Reserve bool
	// HasDeadline is set if the item's job has a deadline.
	HasDeadline bool
	// TimeLeft is the time until the deadline.
	TimeLeft time.Duration
	// Idle is the time since the last event, or since the start if there was none.
	Idle time.Duration
	// Loading is set while the replica loads a weight version.
	Loading bool
	// NotBegun is the number of runs of the item in a row that were moved before their first
	// event.
	NotBegun int
	// Swapped is set once a run of the item gave up its slot to a longer one.
	Swapped bool
}

// preference returns the preference for the replica that the run may move to.
func (r *Run) preference() Preference {
	return Preference{FailedReplicas: r.FailedReplicas, Urgent: true}
}

// remainingTime returns the time to generate the rest of the text at the given interval
// between events.
func (r *Run) remainingTime(interval time.Duration) time.Duration {
	return time.Duration(r.RemainingEvents) * interval
}

// endsInTime reports whether the run is expected to end at least slack before its job's
// deadline, given the interval between events. It is true for a job without a deadline.
func (r *Run) endsInTime(interval, slack time.Duration) bool {
	return !r.HasDeadline || r.remainingTime(interval)+slack <= r.TimeLeft
}
