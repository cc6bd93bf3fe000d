package slowstart

import (
	"math"
	"sync/atomic"
	"time"
)

// bounds are those of a closed gate. They are immutable but for the counts.
type bounds struct {
	// until is when the gate opens, by this node's boot-time clock.
	until      time.Time
	allotments []*allotment
	clock      func() time.Time
	counts     *gateCounts
	// wake has the Client check for demand. It does not block.
	wake func()
}

// gateCounts count what happened at one gate. They outlive its bounds.
type gateCounts struct {
	// demand counts the requests kept back since the Client last asked for permits.
	demand atomic.Int64
	// used counts the requests that passed with a permit.
	used atomic.Int64
}

// open returns whether a request may be sent now, and records the demand if not.
func (b *bounds) open() bool {
	if b.left() > 0 {
		return true
	}
	b.recordDemand()
	return false
}

// take uses one permit, and records the demand if there is none.
func (b *bounds) take() bool {
	now := b.clock()
	if !now.Before(b.until) {
		return true
	}
	for _, granted := range b.allotments {
		if granted.take(now) {
			b.counts.used.Add(1)
			return true
		}
	}
	b.recordDemand()
	return false
}

// left returns how many requests may be sent now.
func (b *bounds) left() int {
	now := b.clock()
	if !now.Before(b.until) {
		return math.MaxInt
	}
	total := 0
	for _, granted := range b.allotments {
		total += granted.remaining(now)
	}
	return total
}

// recordDemand records a request that was kept back.
func (b *bounds) recordDemand() {
	b.counts.demand.Add(1)
	b.wake()
}

// withAllotment returns the bounds with a further allotment and without those that are
// used up or expired.
func (b *bounds) withAllotment(further *allotment) *bounds {
	next := *b
	now := b.clock()
	next.allotments = []*allotment{further}
	for _, granted := range b.allotments {
		if granted.remaining(now) > 0 {
			next.allotments = append(next.allotments, granted)
		}
	}
	return &next
}
