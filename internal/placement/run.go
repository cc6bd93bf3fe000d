package placement

import "time"

// Run is a run of an item at a replica.
type Run struct {
	// Key identifies the run to the caller.
	Key any
	// Replica is where it runs, and Replicas are those where its item may run.
	Replica  string
	Replicas []*Replica
	// FailedAt names the replicas that have failed the item.
	FailedAt []string
	// Events is how many events the run has made, and Rest how many its item is
	// expected to make yet.
	Events int
	Rest   int
	// Idle is how long nothing has come.
	Idle time.Duration
	// Loading tells that its replica changes weights.
	Loading bool
}
