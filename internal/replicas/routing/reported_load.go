package routing

import (
	"time"

	"github.com/pathtally/pathtally/internal/cluster/rendezvous"
)

// reportedLoadLifetime is how long a reported load is used. Load and slowdown change many
// times a second, so an older report describes other work than what runs now.
const reportedLoadLifetime = 500 * time.Millisecond

// ReportedLoad is the load that a replica reports with its answers.
type ReportedLoad struct {
	Running int
	Waiting int
	Slots   int
	// Slowdown is how long work takes at the moment, as a multiple of the usual time. It is 1 if
	// the replica does not report it.
	Slowdown float64
	// HasSlowdown is set if the replica reports the slowdown.
	HasSlowdown bool
}

// receivedLoad is a reported load and this node's state at its receipt. It is immutable.
type receivedLoad struct {
	ReportedLoad
	at time.Time
	// inFlight is EndpointState.InFlight at the receipt.
	inFlight int64
}

// ObserveLoad replaces the reported load. One of two concurrent reports may be lost.
func (s *EndpointState) ObserveLoad(load ReportedLoad, now time.Time) {
	s.reportedLoad.Store(&receivedLoad{ReportedLoad: load, at: now, inFlight: s.InFlight.Load()})
}

// currentLoad returns the reported load, or nil if there is none or it is too old.
func (s *EndpointState) currentLoad(now time.Time) *receivedLoad {
	received := s.reportedLoad.Load()
	if received == nil || now.Sub(received.at) > reportedLoadLifetime {
		return nil
	}
	return received
}

// CurrentReport returns the reported load, and whether there is one that is not too old.
func (s *EndpointState) CurrentReport(now time.Time) (load ReportedLoad, known bool) {
	received := s.currentLoad(now)
	if received == nil {
		return ReportedLoad{}, false
	}
	return received.ReportedLoad, true
}

// ReportedSlowdown returns how long work takes at the endpoint at the moment, as a multiple of
// the usual time, and whether a current report says so.
func (s *EndpointState) ReportedSlowdown(now time.Time) (factor float64, known bool) {
	if received := s.currentLoad(now); received != nil && received.HasSlowdown {
		return received.Slowdown, true
	}
	return 1, false
}

// MarkLoadFault reports whether this is the first unusable load report of the endpoint.
func (s *EndpointState) MarkLoadFault() bool { return s.loadFault.CompareAndSwap(false, true) }

// reportedExcess returns by how many requests the reported load, plus the change of this node's
// requests in flight since then, exceeds what this node knows itself. It is 0 without a current
// report.
func (e *Endpoint) reportedExcess() int64 {
	if e.State.reportedLoad.Load() == nil {
		return 0
	}
	received := e.State.currentLoad(time.Now())
	if received == nil {
		return 0
	}
	reported := int64(received.Running+received.Waiting) + e.State.InFlight.Load() - received.inFlight
	return max(0, reported-e.knownLoad())
}

// reportFraction returns the fraction of what the endpoint's report adds to this node's own view
// that counts in one pick. It is random for each pick and endpoint: nodes that see the same late
// report would otherwise all pick the same replica.
func reportFraction(query *Query, endpoint *Endpoint) float64 {
	const bits = 53
	return float64(rendezvous.Weight(query.Random, endpoint.Hash)>>(64-bits)) / (1 << bits)
}
