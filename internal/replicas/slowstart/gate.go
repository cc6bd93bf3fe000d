package slowstart

import (
	"math"
	"sync/atomic"
)

// Gate bounds what this node sends to one replica. The zero Gate lets everything
// pass. It is safe for use by many goroutines; the request path meets no lock in it.
type Gate struct {
	// bounds is nil for a replica that is warm. It is replaced, never changed.
	bounds atomic.Pointer[bounds]
}

// Open tells whether a request could be sent now. A pick that finds the gate closed
// is what has this node ask for an allotment.
func (g *Gate) Open() bool {
	bounds := g.bounds.Load()
	return bounds == nil || bounds.open()
}

// Take takes the permit for one request that is sent at once; false means that
// it must not be sent.
func (g *Gate) Take() bool {
	bounds := g.bounds.Load()
	return bounds == nil || bounds.take()
}

// Left is how many requests could be sent now: very many to a warm replica.
func (g *Gate) Left() int {
	bounds := g.bounds.Load()
	if bounds == nil {
		return math.MaxInt
	}
	return bounds.left()
}

// Wanted tells whether a request has found the gate closed since it was last asked
// about.
func (g *Gate) Wanted() bool {
	bounds := g.bounds.Load()
	return bounds != nil && bounds.counts.demand.Load() > 0
}
