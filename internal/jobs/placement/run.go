package placement

import "time"

// Run is the view of a run of an item at a replica.
type Run struct {
	// Index is the caller's number of the run.
	Index int
	// Replica names the replica where it runs.
	Replica string
	// Replicas are those to which its item may go.
	Replicas []*Replica
	// FailedReplicas names the replicas that have failed the item.
	FailedReplicas []string
	// Events is the number of events that the run has had.
	Events int
	// RemainingEvents is the number of events that the item is expected to have left.
	RemainingEvents int
	// HasDeadline is set where the item's job has to be complete by some time.
	HasDeadline bool
	// TimeLeft is the time until that deadline.
	TimeLeft time.Duration
	// Idle is the time since the last event, or since the start if there was none.
	Idle time.Duration
	// Loading is set while the replica loads a weight version.
	Loading bool
}

// preference returns what the run's item wants of another replica.
func (r *Run) preference() Preference {
	return Preference{FailedReplicas: r.FailedReplicas, Urgent: true}
}

// remainingTime returns how long the rest of the text takes at an interval between events.
func (r *Run) remainingTime(interval time.Duration) time.Duration {
	return time.Duration(r.RemainingEvents) * interval
}

// endsInTime reports whether the run ends at least slack before its job's deadline, given
// the interval between events. It is true for a job without a deadline.
func (r *Run) endsInTime(interval, slack time.Duration) bool {
	return !r.HasDeadline || r.remainingTime(interval)+slack <= r.TimeLeft
}
