package placement

import "time"

const (
	// paceTime is the time over which a replica's pace is averaged: the reading of
	// another item's prompt holds all its runs up for an event or two, which is to
	// count for little, and a replica that has turned slow is to be known in a second.
	paceTime = time.Second
	// settledTime is for how long runs must have been seen at a replica for their pace
	// to be believed: the first events come while prompts are being read.
	settledTime = 250 * time.Millisecond
)

// Pace is the average time between events of a run at a replica. The zero value is
// unknown.
type Pace struct {
	average time.Duration
	// seen is the time over which runs have been seen, up to paceTime.
	seen time.Duration
}

// NewPace returns a pace that is known for certain.
func NewPace(interval time.Duration) Pace { return Pace{average: interval, seen: paceTime} }

// Interval is the time between events, 0 as long as too little has been seen.
func (p *Pace) Interval() time.Duration {
	if p.seen < settledTime {
		return 0
	}
	return p.average
}

// Observe takes the time between two events of a run, and how many runs of this node
// the replica has, that one included.
func (p *Pace) Observe(interval time.Duration, runs int) {
	part := interval / time.Duration(max(1, runs))
	p.seen = min(p.seen+part, paceTime)
	if p.seen == 0 {
		return
	}
	share := min(1, float64(part)/float64(p.seen))
	p.average += time.Duration(share * float64(interval-p.average))
}
