package autoscale

import (
	"slices"
	"time"
)

// sample is how many items ran, and how many ran or waited, at an instant.
type sample struct {
	at      time.Time
	running int
	open    int
}

// peak keeps the work of the last peakMemory.
type peak struct{ samples []sample }

// add takes the work of now and forgets what is too old to plan for.
func (p *peak) add(now time.Time, running, open int) {
	p.samples = append(p.samples, sample{at: now, running: running, open: open})
	p.samples = slices.DeleteFunc(p.samples, func(old sample) bool { return now.Sub(old.at) > peakPeriod })
}

// greatest returns the most items that ran, and the most that ran or waited, at any
// instant that is kept.
func (p *peak) greatest() (running, open int) {
	for _, one := range p.samples {
		running, open = max(running, one.running), max(open, one.open)
	}
	return running, open
}
