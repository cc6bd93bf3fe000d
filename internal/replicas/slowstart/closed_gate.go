package slowstart

import (
	"math"
	"sync/atomic"
	"time"
)

// closedGate is the state of a closed gate. It is immutable except for the counts
// and the unused permits of its allotments.
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
func (c *closedGate) checkPermit() bool {
	if c.permitsLeft() > 0 {
		return true
	}
	c.recordDemand()
	return false
}

// takePermit uses one permit. If there is none, it records demand and returns false.
func (c *closedGate) takePermit() bool {
	now := c.clock()
	if !now.Before(c.until) {
		return true
	}
	for _, granted := range c.allotments {
		if granted.take(now) {
			c.counts.used.Add(1)
			return true
		}
	}
	c.recordDemand()
	return false
}

// permitsLeft returns how many requests may be sent now, or math.MaxInt once the warm-up
// has ended.
func (c *closedGate) permitsLeft() int {
	now := c.clock()
	if !now.Before(c.until) {
		return math.MaxInt
	}
	total := 0
	for _, granted := range c.allotments {
		total += granted.remaining(now)
	}
	return total
}

// recordDemand records a refused request and wakes the Client.
func (c *closedGate) recordDemand() {
	c.counts.demand.Add(1)
	c.wake()
}

// withAllotment returns a copy of the gate with one more allotment and without those that
// are used up or expired.
func (c *closedGate) withAllotment(further *allotment) *closedGate {
	next := *c
	now := c.clock()
	next.allotments = []*allotment{further}
	for _, granted := range c.allotments {
		if granted.remaining(now) > 0 {
			next.allotments = append(next.allotments, granted)
		}
	}
	return &next
}
