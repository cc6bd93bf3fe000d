package placement

import "time"

// Run is a run of an item at a replica.
type Run struct {
	// Index is the caller's number of the run.
	Index int
	// Replica is where it runs, and Replicas are those where its item may run.
	Replica  string
	Replicas []*Replica
	// FailedAt names the replicas that have failed the item.
	FailedAt []string
	// Events is how many events the run has made, and Rest how many its item is
	// expected to make yet.
	Events int
	Rest   int
	// Due tells that its job has a time to be whole, and Left how long that is yet.
	Due  bool
	Left time.Duration
	// Idle is how long nothing has come.
	Idle time.Duration
	// Loading tells that its replica changes weights.
	Loading bool
}

// preference is what the run's item asks of another replica.
func (r *Run) preference() Preference { return Preference{FailedAt: r.FailedAt, Urgent: true} }

// restAt is how long the rest takes where events come at an interval.
func (r *Run) restAt(interval time.Duration) time.Duration { return time.Duration(r.Rest) * interval }

// endsInTime tells whether the run ends before its job is due, with a time to spare,
// where events come at an interval; true for a job that has no such time.
func (r *Run) endsInTime(interval, reserve time.Duration) bool {
	return !r.Due || r.restAt(interval)+reserve <= r.Left
}
