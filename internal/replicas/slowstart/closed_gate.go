package slowstart

import (
	"math"
	"sync/atomic"
	"time"
)

// closedGate is the state of a closed gate. It is immutable except for the counts.
type closedGate struct {
	// until is when the gate opens, in the node's boot-time clock.
	until      time.Time
	allotments []*allotment
	clock      func() time.Time
	counts     *gateCounts
	// wake makes the Client check for demand. It does not block.
	wake func()
}

// gateCounts holds the counters of one gate. They outlive a closedGate.
type gateCounts struct {
	// demand counts the requests refused since the Client last requested permits.
	demand atomic.Int64
	// used counts the requests that passed with a permit.
	used atomic.Int64
}

// checkPermit reports whether a request may be sent now. If not, it records demand.
func (b *closedGate) checkPermit() bool {
	if b.permitsLeft() > 0 {
		return true
	}
	b.recordDemand()
	return false
}

// takePermit uses one permit. If there is none, it records demand and returns false.
func (b *closedGate) takePermit() bool {
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

// permitsLeft returns how many requests may be sent now, or math.MaxInt once the warm-up has ended.
func (b *closedGate) permitsLeft() int {
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

// recordDemand records a refused request and wakes the Client.
func (b *closedGate) recordDemand() {
	b.counts.demand.Add(1)
	b.wake()
}

// withAllotment returns a copy of the gate with one more allotment and without those that
// are used up or expired.
func (b *closedGate) withAllotment(further *allotment) *closedGate {
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
