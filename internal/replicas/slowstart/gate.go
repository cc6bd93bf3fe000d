package slowstart

import (
	"math"
	"sync/atomic"
)

// Gate bounds what this node sends to one replica. The zero Gate is open. It is safe for
// use by many goroutines and takes no lock.
type Gate struct {
	// bounds is nil if the gate is open. It is replaced, never changed.
	bounds atomic.Pointer[bounds]
}

// Open returns whether a request may be sent now. If not, it records the demand, so that
// the Client asks for a permit.
func (g *Gate) Open() bool {
	bounds := g.bounds.Load()
	return bounds == nil || bounds.open()
}

// Take takes the permit for a request that is sent at once. If there is none, it records
// the demand and returns false: the request must not be sent.
func (g *Gate) Take() bool {
	bounds := g.bounds.Load()
	return bounds == nil || bounds.take()
}

// PermitsLeft returns how many requests may be sent now, math.MaxInt if the gate is open.
// It records no demand.
func (g *Gate) PermitsLeft() int {
	bounds := g.bounds.Load()
	if bounds == nil {
		return math.MaxInt
	}
	return bounds.left()
}

// Wanted returns whether a request has been kept back since the Client last asked for
// permits.
func (g *Gate) Wanted() bool {
	bounds := g.bounds.Load()
	return bounds != nil && bounds.counts.demand.Load() > 0
}
