package placement

import "time"

const (
	// startTimeout bounds the time to a run's first event.
	startTimeout = 900 * time.Millisecond
	// eventTimeout bounds the time between events of a run.
	eventTimeout = 500 * time.Millisecond
	// tightSlack is the slack below which a run is tight: a stall would make its job late,
	// so shorter timeouts apply.
	tightSlack = time.Second
	// tightStartTimeout bounds the time to a tight run's first event, which a healthy
	// replica sends sooner.
	tightStartTimeout = 400 * time.Millisecond
	// tightEventIntervals bounds the time between events of a tight run, in intervals of
	// its replica. Reading another item's prompt takes a replica an interval or two.
	tightEventIntervals = 4
	// minEventTimeout is the least bound for the time between events.
	minEventTimeout = 200 * time.Millisecond
	// loadingAllowance is added to each bound while the replica loads a weight version.
	loadingAllowance = 2500 * time.Millisecond
)

// Stalled reports whether a run has had no event for so long that its item had better
// start anew elsewhere.
func Stalled(paces Paces, run *Run) bool { return run.Idle > run.timeout(paces) }

// MayFinish reports whether a run is left at a replica whose entry has gone: such a
// replica goes on serving for a while, so its runs stay as long as events come.
func MayFinish(run *Run) bool { return run.Idle < eventTimeout }

// timeout returns how long the run may go without an event.
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

// startTimeout returns how long the run may take to its first event.
func (r *Run) startTimeout(paces Paces) time.Duration {
	if r.isTight(paces) {
		return tightStartTimeout
	}
	return startTimeout
}

// eventTimeout returns how long the run may take between events.
func (r *Run) eventTimeout(paces Paces) time.Duration {
	if !r.isTight(paces) {
		return eventTimeout
	}
	return min(eventTimeout, max(minEventTimeout, tightEventIntervals*paces.expectedAt(r.Replica)))
}

// isTight reports whether the run's slack is below tightSlack. It is not where no pace is
// known.
func (r *Run) isTight(paces Paces) bool {
	interval := paces.expectedAt(r.Replica)
	return interval > 0 && !r.endsInTime(interval, tightSlack)
}
