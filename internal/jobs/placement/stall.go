package placement

import "time"

const (
	// startPatience is how long a run may take to its first event, and eventPatience
	// how long between events.
	startPatience = 900 * time.Millisecond
	eventPatience = 500 * time.Millisecond
	// tightStart is how long a text that has less than tightSlack to spare may take to
	// its first event: a replica that is well sends it sooner.
	tightStart = 400 * time.Millisecond
	// tightPatience is how many intervals may pass between events of a text that has
	// less than tightSlack to spare, leastPatience the least such time: a replica that
	// reads another item's prompt makes none for an interval or two.
	tightPatience = 4
	leastPatience = 200 * time.Millisecond
	tightSlack    = time.Second
	// loadPatience is added while the replica changes weights.
	loadPatience = 2500 * time.Millisecond
)

// Stalled tells whether nothing has come from a run for too long.
func Stalled(paces Paces, run *Run) bool { return run.Idle > run.patience(paces) }

// MayFinish tells whether a run at a replica that leaves is left there: leaving
// replicas go on serving for a while.
func MayFinish(run *Run) bool { return run.Idle < eventPatience }

func (r *Run) patience(paces Paces) time.Duration {
	patience := r.startPatience(paces)
	if r.Events > 0 {
		patience = r.eventPatience(paces)
	}
	if r.Loading {
		patience += loadPatience
	}
	return patience
}

// startPatience is how long the run may take to its first event.
func (r *Run) startPatience(paces Paces) time.Duration {
	if r.isTight(paces) {
		return tightStart
	}
	return startPatience
}

// eventPatience is how long the run may take between events. A text without slack is
// better begun again elsewhere after some intervals than waited for.
func (r *Run) eventPatience(paces Paces) time.Duration {
	if !r.isTight(paces) {
		return eventPatience
	}
	return min(eventPatience, max(leastPatience, tightPatience*paces.at(r.Replica)))
}

// isTight tells whether a wait may cost the run's job its time.
func (r *Run) isTight(paces Paces) bool {
	interval := paces.at(r.Replica)
	return interval > 0 && !r.endsInTime(interval, tightSlack)
}
