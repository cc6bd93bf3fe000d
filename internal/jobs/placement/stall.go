package placement

import "time"

const (
	// startTimeout bounds the time to a run's first event.
	startTimeout = 900 * time.Millisecond
	// eventTimeout bounds the time between events of a run.
	eventTimeout = 500 * time.Millisecond
	// tightSlack is the slack below which a run is tight; its slack is the time from its
	// expected end to its job's deadline. Shorter timeouts apply to tight runs, because a
	// stall would make the job late.
	tightSlack = time.Second
	// tightStartTimeout bounds the time to the first event of a tight run. A healthy replica
	// sends it sooner.
	tightStartTimeout = 400 * time.Millisecond
	// tightEventIntervals bounds the time between events of a tight run, as a multiple of
	// the replica's interval. The prefill of another item's prompt takes one or two
	// intervals.
	tightEventIntervals = 4
	// minEventTimeout is the minimum timeout between events.
	minEventTimeout = 200 * time.Millisecond
	// loadingAllowance is added to each timeout while the replica loads a weight version.
	loadingAllowance = 2500 * time.Millisecond
)

// Stalled reports whether a run has received no event within its timeout and should be
// restarted at another replica.
func Stalled(paces Paces, run *Run) bool { return run.Idle > run.timeout(paces) }

// HasRecentEvent reports whether a run has received an event within eventTimeout. A replica
// whose entry was removed may continue serving for a while, so its runs stay while this
// holds.
func HasRecentEvent(run *Run) bool { return run.Idle < eventTimeout }

// timeout returns how long the run may go without an event.
func (r *Run) timeout(paces Paces) time.Duration {
	timeout := r.currentStartTimeout(paces)
	if r.Events > 0 {
		timeout = r.currentEventTimeout(paces)
	}
	if r.Loading {
		timeout += loadingAllowance
	}
	return timeout
}

// currentStartTimeout returns how long the run may go without its first event.
func (r *Run) currentStartTimeout(paces Paces) time.Duration {
	if r.isTight(paces) {
		return tightStartTimeout
	}
	return startTimeout
}

// currentEventTimeout returns how long the run may take between events.
func (r *Run) currentEventTimeout(paces Paces) time.Duration {
	if !r.isTight(paces) {
		return eventTimeout
	}
	return min(eventTimeout, max(minEventTimeout, tightEventIntervals*paces.expectedAt(r.Replica)))
}

// isTight reports whether the slack of the run is below tightSlack. It is false if no pace
// is known.
func (r *Run) isTight(paces Paces) bool {
	interval := paces.expectedAt(r.Replica)
	return interval > 0 && !r.endsInTime(interval, tightSlack)
}
