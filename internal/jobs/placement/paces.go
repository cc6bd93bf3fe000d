package placement

import (
	"slices"
	"time"
)

const (
	// leastPaced is how many replicas must have a pace for one to be slow.
	minPacedReplicas = 3
	// slowRatio is from how many times the usual interval between events a replica
	// counts as slow, and leastInterval below which none does.
	slowRatio        = 1.7
	minUsualInterval = 10 * time.Millisecond
)

// Paces are the times between events of a run at each replica where they are known.
type Paces struct {
	intervals map[string]time.Duration
	// usual is the median, and least the shortest; zero if too few are known.
	usual   time.Duration
	fastest time.Duration
}

// NewPaces returns the paces of replicas whose intervals are known.
func NewPaces(intervals map[string]time.Duration) Paces {
	known := Paces{intervals: intervals}
	sorted := make([]time.Duration, 0, len(intervals))
	for _, interval := range intervals {
		sorted = append(sorted, interval)
	}
	if len(sorted) < minPacedReplicas {
		return known
	}
	slices.Sort(sorted)
	known.usual = max(sorted[(len(sorted)-1)/2], minUsualInterval)
	known.fastest = max(sorted[0], minUsualInterval)
	return known
}

// Usual is the median interval, 0 if too few are known.
func (p Paces) Usual() time.Duration { return p.usual }

// at is the interval to reckon with at a replica: its own, else the usual one; 0 for
// neither known.
func (p Paces) at(replica string) time.Duration {
	if interval := p.intervals[replica]; interval > 0 {
		return interval
	}
	return p.usual
}

// slow tells whether a replica's events come much more slowly than the usual.
func (p Paces) slow(replica string) bool {
	return p.usual > 0 && float64(p.intervals[replica]) > slowRatio*float64(p.usual)
}

// excess is how much longer a replica's events take than the fastest's, as a part of
// these; 0 where it is not known.
func (p Paces) excess(replica string) float64 {
	if p.fastest == 0 || p.intervals[replica] <= p.fastest {
		return 0
	}
	return float64(p.intervals[replica])/float64(p.fastest) - 1
}
