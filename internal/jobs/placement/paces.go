package placement

import (
	"slices"
	"time"
)

const (
	// minKnownPaces is the number of replicas with a known pace that are required to
	// compare paces.
	minKnownPaces = 3
	// slowRatio is the multiple of the median interval above which a replica is slow.
	slowRatio = 1.7
	// minReferenceInterval is the lower bound of the interval that others are compared with.
	// Differences below it are negligible.
	minReferenceInterval = 10 * time.Millisecond
)

// Paces holds the known intervals between events of a run by replica, with their median and
// minimum.
type Paces struct {
	intervals map[string]time.Duration
	// median is the median interval and fastest the shortest, both at least
	// minReferenceInterval. Both are 0 if fewer than minKnownPaces are known.
	median  time.Duration
	fastest time.Duration
	// usual are the intervals without short disturbances. usualMedian is their median; a quarter
	// of the replicas are at least as fast as fastQuarter, and a quarter at least as slow as
	// slowQuarter. These are 0 if fewer than minKnownPaces are known.
	usual       map[string]time.Duration
	usualMedian time.Duration
	fastQuarter time.Duration
	slowQuarter time.Duration
	// disturbed are the replicas that are slower than usual at the moment.
	disturbed map[string]bool
}

// NewPaces returns the paces for the known intervals by replica.
func NewPaces(intervals map[string]time.Duration) Paces {
	paces := Paces{intervals: intervals}
	sorted := sortedIntervals(intervals, nil)
	if len(sorted) < minKnownPaces {
		return paces
	}
	paces.median = max(sorted[(len(sorted)-1)/2], minReferenceInterval)
	paces.fastest = max(sorted[0], minReferenceInterval)
	return paces
}

// WithUsual adds the intervals without short disturbances by replica, and the replicas that are
// slower than that at the moment.
func (p Paces) WithUsual(usual map[string]time.Duration, disturbed map[string]bool) Paces {
	p.usual, p.disturbed = usual, disturbed
	// Disturbed replicas say nothing about the speeds among which items will be placed.
	sorted := sortedIntervals(usual, disturbed)
	if len(sorted) < minKnownPaces {
		return p
	}
	p.usualMedian = sorted[(len(sorted)-1)/2]
	quarter := (len(sorted) + criticalReplicasDivisor - 1) / criticalReplicasDivisor
	p.fastQuarter, p.slowQuarter = sorted[quarter-1], sorted[len(sorted)-quarter]
	return p
}

// sortedIntervals returns the known intervals except those of some replicas, shortest first.
func sortedIntervals(intervals map[string]time.Duration, except map[string]bool) []time.Duration {
	sorted := make([]time.Duration, 0, len(intervals))
	for replica, interval := range intervals {
		if interval > 0 && !except[replica] {
			sorted = append(sorted, interval)
		}
	}
	slices.Sort(sorted)
	return sorted
}

// MedianInterval returns the median interval, 0 if too few intervals are known.
func (p Paces) MedianInterval() time.Duration { return p.median }

// UsualAt returns the interval without short disturbances at a replica: its own if known, else
// the median, or 0 if neither is known.
func (p Paces) UsualAt(replica string) time.Duration {
	if interval := p.usual[replica]; interval > 0 {
		return interval
	}
	return p.usualMedian
}

// expectedAt returns the expected interval at a replica: its own if known, else the median,
// or 0 if neither is known.
func (p Paces) expectedAt(replica string) time.Duration {
	if interval := p.intervals[replica]; interval > 0 {
		return interval
	}
	return p.median
}

// isSlow reports whether the interval of a replica exceeds slowRatio times the median.
func (p Paces) isSlow(replica string) bool {
	return p.median > 0 && float64(p.intervals[replica]) > slowRatio*float64(p.median)
}

// slowdown returns the excess of a replica's interval over the shortest one, as a fraction
// of the shortest: 0.5 means 1.5 times as long. It is 0 if either is unknown.
func (p Paces) slowdown(replica string) float64 {
	if p.fastest == 0 || p.intervals[replica] <= p.fastest {
		return 0
	}
	return float64(p.intervals[replica])/float64(p.fastest) - 1
}
