package autoscale

import (
	"slices"
	"time"
)

// sample is the number of running items and of open items, which run or wait, at a time.
type sample struct {
	at      time.Time
	running int
	open    int
}

// peak keeps the samples of the last peakPeriod.
type peak struct{ samples []sample }

// add adds a sample and drops those older than peakPeriod.
func (p *peak) add(now time.Time, running, open int) {
	p.samples = append(p.samples, sample{at: now, running: running, open: open})
	p.samples = slices.DeleteFunc(p.samples, func(old sample) bool { return now.Sub(old.at) > peakPeriod })
}

// maximum returns the maximum numbers of running items and of open items among the samples.
func (p *peak) maximum() (running, open int) {
	for _, kept := range p.samples {
		running, open = max(running, kept.running), max(open, kept.open)
	}
	return running, open
}
