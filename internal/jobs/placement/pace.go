package placement

import "time"

const (
	// paceTime is the run time over which a pace is averaged. It is long enough that the
	// reading of another item's prompt, which delays all runs of a replica by an event or
	// two, hardly counts, and short enough to show soon that a replica has become slow.
	paceTime = time.Second
	// settledTime is how long runs must have been observed before a pace is used: the
	// first events come while prompts are being read.
	settledTime = 250 * time.Millisecond
)

// Pace averages the time between events of a run at one replica. The zero value is
// unknown.
type Pace struct {
	average time.Duration
	// observed is the time over which runs have been observed, up to paceTime.
	observed time.Duration
}

// NewPace returns a pace with a known interval between events.
func NewPace(interval time.Duration) Pace { return Pace{average: interval, observed: paceTime} }

// Interval returns the average time between events, 0 until enough has been observed.
func (p *Pace) Interval() time.Duration {
	if p.observed < settledTime {
		return 0
	}
	return p.average
}

// Observe records the time between two events of a run. runs is the number of runs that
// this node has at the replica, that one included: they are observed at the same time.
func (p *Pace) Observe(interval time.Duration, runs int) {
	elapsed := interval / time.Duration(max(1, runs))
	p.observed = min(p.observed+elapsed, paceTime)
	if p.observed == 0 {
		return
	}
	share := min(1, float64(elapsed)/float64(p.observed))
	p.average += time.Duration(share * float64(interval-p.average))
}
