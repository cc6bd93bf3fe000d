package slowstart

import (
	"math"
	"sync/atomic"
	"time"
)

// bounds are what holds for a replica that warms up. They are immutable but for the
// counts.
type bounds struct {
	// until is when the replica is warm, by this node's boot-time clock.
	until      time.Time
	allotments []*allotment
	clock      func() time.Time
	counts     *gateCounts
	// wake has the asker look; it does not block.
	wake func()
}

// gateCounts count what happened at one gate. They outlive its bounds.
type gateCounts struct {
	// demand counts the requests that found the gate closed since the last question,
	// and used those that were let through against an allotment.
	demand atomic.Int64
	used   atomic.Int64
}

// open tells whether a request could be sent now, and notes one that could not.
func (b *bounds) open() bool {
	if b.left() > 0 {
		return true
	}
	b.missed()
	return false
}

// take uses up one allotted request, and notes one for which there was none.
func (b *bounds) take() bool {
	now := b.clock()
	if !now.Before(b.until) {
		return true
	}
	for _, standing := range b.allotments {
		if standing.take(now) {
			b.counts.used.Add(1)
			return true
		}
	}
	b.missed()
	return false
}

// left is how many requests could be sent now.
func (b *bounds) left() int {
	now := b.clock()
	if !now.Before(b.until) {
		return math.MaxInt
	}
	total := 0
	for _, standing := range b.allotments {
		total += standing.remaining(now)
	}
	return total
}

// missed notes a request that had to go elsewhere.
func (b *bounds) missed() {
	b.counts.demand.Add(1)
	b.wake()
}

// with returns the bounds with a further allotment and without those that have run
// out.
func (b *bounds) with(further *allotment) *bounds {
	next := *b
	now := b.clock()
	next.allotments = []*allotment{further}
	for _, standing := range b.allotments {
		if standing.remaining(now) > 0 {
			next.allotments = append(next.allotments, standing)
		}
	}
	return &next
}
