package slowstart

import (
	"math"
	"sync/atomic"
)

// Gate limits the requests of this node to one replica. The zero Gate is open. It is safe for
// concurrent use and takes no lock.
type Gate struct {
	// bounds is nil if the gate is open. The pointed-to value is never modified.
	bounds atomic.Pointer[bounds]
}

// CheckPermit reports whether a request may be sent now. If not, it records demand, so that the
// Client requests a permit.
func (g *Gate) CheckPermit() bool {
	bounds := g.bounds.Load()
	return bounds == nil || bounds.open()
}

// TakePermit uses a permit for a request that is sent immediately. If there is none, it records
// demand and returns false, and the request must not be sent.
func (g *Gate) TakePermit() bool {
	bounds := g.bounds.Load()
	return bounds == nil || bounds.take()
}

// PermitsLeft returns how many requests may be sent now, or math.MaxInt if the gate is open.
// It records no demand.
func (g *Gate) PermitsLeft() int {
	bounds := g.bounds.Load()
	if bounds == nil {
		return math.MaxInt
	}
	return bounds.left()
}

// HasDemand reports whether the gate has refused a request since the Client last requested
// permits.
func (g *Gate) HasDemand() bool {
	bounds := g.bounds.Load()
	return bounds != nil && bounds.counts.demand.Load() > 0
}
