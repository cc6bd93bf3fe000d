package placement

import (
	"slices"
	"time"
)

const (
	// minPacedReplicas is how many replicas must have a known pace before paces are
	// compared.
	minPacedReplicas = 3
	// slowRatio is the multiple of the usual interval above which a replica is slow.
	slowRatio = 1.7
	// minUsualInterval is the least interval that others are compared with: below it,
	// differences don't matter.
	minUsualInterval = 10 * time.Millisecond
)

// Paces are the known intervals between events of a run, by replica, and what is usual
// among them.
type Paces struct {
	intervals map[string]time.Duration
	// usual is the median interval and fastest the shortest, neither below
	// minUsualInterval; both are 0 if too few are known.
	usual   time.Duration
	fastest time.Duration
}

// NewPaces returns the paces of replicas, given their known intervals by name.
func NewPaces(intervals map[string]time.Duration) Paces {
	paces := Paces{intervals: intervals}
	sorted := make([]time.Duration, 0, len(intervals))
	for _, interval := range intervals {
		sorted = append(sorted, interval)
	}
	if len(sorted) < minPacedReplicas {
		return paces
	}
	slices.Sort(sorted)
	paces.usual = max(sorted[(len(sorted)-1)/2], minUsualInterval)
	paces.fastest = max(sorted[0], minUsualInterval)
	return paces
}

// Usual returns the median interval, 0 if too few are known.
func (p Paces) Usual() time.Duration { return p.usual }

// expectedAt returns the interval to expect at a replica: its own if known, else the usual
// one; 0 if neither is known.
func (p Paces) expectedAt(replica string) time.Duration {
	if interval := p.intervals[replica]; interval > 0 {
		return interval
	}
	return p.usual
}

// isSlow reports whether a replica's interval is far above the usual one.
func (p Paces) isSlow(replica string) bool {
	return p.usual > 0 && float64(p.intervals[replica]) > slowRatio*float64(p.usual)
}

// slowdown returns by which multiple of the fastest interval a replica's exceeds it: 0.5
// is half as long again. It is 0 if either is unknown.
func (p Paces) slowdown(replica string) float64 {
	if p.fastest == 0 || p.intervals[replica] <= p.fastest {
		return 0
	}
	return float64(p.intervals[replica])/float64(p.fastest) - 1
}
