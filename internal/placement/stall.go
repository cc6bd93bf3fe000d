package placement

import "time"

const (
	// startPatience is how long a run may take to its first event, and eventPatience
	// how long between events.
	startPatience = 900 * time.Millisecond
	eventPatience = 500 * time.Millisecond
	// loadPatience is added while the replica changes weights.
	loadPatience = 2500 * time.Millisecond
)

// Stalled tells whether nothing has come from a run for too long.
func Stalled(run *Run) bool { return run.Idle > run.patience() }

// MayFinish tells whether a run at a replica that leaves is left there: leaving
// replicas go on serving for a while.
func MayFinish(run *Run) bool { return run.Idle < eventPatience }

func (r *Run) patience() time.Duration {
	patience := startPatience
	if r.Events > 0 {
		patience = eventPatience
	}
	if r.Loading {
		patience += loadPatience
	}
	return patience
}
