package placement

import "time"

const (
	// averagingPeriod is the period over which a pace is averaged. It is long enough to
	// smooth the prefill of another item's prompt, which delays all runs of a replica by
	// one or two events, and short enough to detect soon that a replica has become slow.
	averagingPeriod = time.Second
	// minObservedTime is how long runs must have been observed before a pace is used. The
	// first events are delayed by the prefill of prompts.
	minObservedTime = 250 * time.Millisecond
)

// Pace is a moving average of the time between events of a run at one replica. The zero
// value is an unknown pace.
type Pace struct {
	average time.Duration
	// observed is the time for which runs have been observed, at most averagingPeriod.
	observed time.Duration
}

// NewPace returns a pace with a given interval between events.
func NewPace(interval time.Duration) Pace { return Pace{average: interval, observed: averagingPeriod} }

// Interval returns the average time between events, 0 until enough has been observed.
func (p *Pace) Interval() time.Duration {
	if p.observed < minObservedTime {
		return 0
	}
	return p.average
}

// Observe records the time between two events of a run. runs is the number of runs that this
// node has at the replica, including that one. Each observation counts 1/runs, because all of
// the runs are observed concurrently.
func (p *Pace) Observe(interval time.Duration, runs int) {
	elapsed := interval / time.Duration(max(1, runs))
	p.observed = min(p.observed+elapsed, averagingPeriod)
	if p.observed == 0 {
		return
	}
	weight := min(1, float64(elapsed)/float64(p.observed))
	p.average += time.Duration(weight * float64(interval-p.average))
}
