package placement

import "time"

const (
	// startTimeout bounds a run's time to its first event, and eventTimeout the time
	// between events.
	startTimeout = 900 * time.Millisecond
	eventTimeout = 500 * time.Millisecond
	// tightStartTimeout is startTimeout for a text that has less than tightSlack left: a
	// healthy replica sends its first event sooner.
	tightStartTimeout = 400 * time.Millisecond
	// tightEventIntervals is how many intervals may pass between events of a text that has
	// less than tightSlack left, and minEventTimeout the least such time: a replica that
	// reads another item's prompt makes no event for an interval or two.
	tightEventIntervals = 4
	minEventTimeout     = 200 * time.Millisecond
	tightSlack          = time.Second
	// loadingAllowance is added while the replica changes weights.
	loadingAllowance = 2500 * time.Millisecond
)

// Stalled tells whether a run has had no event for too long.
func Stalled(paces Paces, run *Run) bool { return run.Idle > run.timeout(paces) }

// MayFinish tells whether a run at a replica that leaves is left there: leaving
// replicas go on serving for a while.
func MayFinish(run *Run) bool { return run.Idle < eventTimeout }

func (r *Run) timeout(paces Paces) time.Duration {
	timeout := r.startTimeout(paces)
	if r.Events > 0 {
		timeout = r.eventTimeout(paces)
	}
	if r.Loading {
		timeout += loadingAllowance
	}
	return timeout
}

// startPatience is how long the run may take to its first event.
func (r *Run) startTimeout(paces Paces) time.Duration {
	if r.isTight(paces) {
		return tightStartTimeout
	}
	return startTimeout
}

// eventPatience is how long the run may take between events. A text without slack is
// better begun again elsewhere after some intervals than waited for.
func (r *Run) eventTimeout(paces Paces) time.Duration {
	if !r.isTight(paces) {
		return eventTimeout
	}
	return min(eventTimeout, max(minEventTimeout, tightEventIntervals*paces.at(r.Replica)))
}

// isTight tells whether a wait may cost the run's job its time.
func (r *Run) isTight(paces Paces) bool {
	interval := paces.at(r.Replica)
	return interval > 0 && !r.endsInTime(interval, tightSlack)
}
