package slowstart

import (
	"math"
	"sync/atomic"
)

// Gate limits the requests of this node to one replica. The zero Gate is open. It is safe for
// concurrent use and takes no lock.
type Gate struct {
	// closed is nil if the gate is open. Of the pointed-to value only the counters
	// are modified.
	closed atomic.Pointer[closedGate]
}

// CheckPermit reports whether a request may be sent now. If not, it records demand, so that
// the Client requests a permit.
func (g *Gate) CheckPermit() bool {
	closed := g.closed.Load()
	return closed == nil || closed.checkPermit()
}

// TakePermit uses a permit for a request that is sent immediately. If there is none, it
// records demand and returns false, and the request must not be sent.
func (g *Gate) TakePermit() bool {
	closed := g.closed.Load()
	return closed == nil || closed.takePermit()
}

// PermitsLeft returns how many requests may be sent now, or math.MaxInt if the gate is open.
// It records no demand.
func (g *Gate) PermitsLeft() int {
	closed := g.closed.Load()
	if closed == nil {
		return math.MaxInt
	}
	return closed.permitsLeft()
}

// HasDemand reports whether the gate has refused a request since the Client last requested
// permits.
func (g *Gate) HasDemand() bool {
	closed := g.closed.Load()
	return closed != nil && closed.counts.demand.Load() > 0
}
