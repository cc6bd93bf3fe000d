package placement

import "time"

// Run is a run of an item at a replica.
type Run struct {
	// Index is the caller's number of the run.
	Index int
	// Replica is where it runs, and Replicas are those where its item may run.
	Replica  string
	Replicas []*Replica
	// FailedReplicas names the replicas that have failed the item.
	FailedReplicas []string
	// Events is how many events the run has made, and RemainingEvents how many its item is
	// expected to make yet.
	Events          int
	RemainingEvents int
	// HasDeadline tells that its job has a time to be whole, and TimeLeft how long that is yet.
	HasDeadline bool
	TimeLeft    time.Duration
	// Idle is how long nothing has come.
	Idle time.Duration
	// Loading tells that its replica changes weights.
	Loading bool
}

// preference is what the run's item asks of another replica.
func (r *Run) preference() Preference {
	return Preference{FailedReplicas: r.FailedReplicas, Urgent: true}
}

// restAt is how long the rest takes where events come at an interval.
func (r *Run) restAt(interval time.Duration) time.Duration {
	return time.Duration(r.RemainingEvents) * interval
}

// endsInTime tells whether the run ends before its job is due, with a time to spare,
// where events come at an interval; true for a job that has no such time.
func (r *Run) endsInTime(interval, reserve time.Duration) bool {
	return !r.HasDeadline || r.restAt(interval)+reserve <= r.TimeLeft
}
