package placement

import "time"

const (
	// paceTime is the time over which a replica's pace is averaged: the reading of
	// another item's prompt holds all its runs up for an event or two, which is to
	// count for little, and a replica that has turned slow is to be known in a second.
	paceTime = time.Second
	// mostPaceShare bounds the part of one interval in the average.
	mostPaceShare = 0.25
)

// Pace is the average time between events of a run at a replica. The zero value is
// unknown.
type Pace struct {
	Interval time.Duration
}

// Observe takes the time between two events of a run, beside which the replica has so
// many runs of this node, itself included.
func (p *Pace) Observe(interval time.Duration, runs int) {
	if p.Interval == 0 {
		p.Interval = interval
		return
	}
	share := float64(interval) / float64(paceTime) / float64(max(1, runs))
	p.Interval += time.Duration(min(share, mostPaceShare) * float64(interval-p.Interval))
}
