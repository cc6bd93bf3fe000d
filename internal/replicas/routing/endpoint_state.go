package routing

import (
	"sync/atomic"

	"github.com/pathtally/pathtally/internal/callers/admission"
	"github.com/pathtally/pathtally/internal/replicas/slowstart"
)

// targetRetryPercent is the share of an endpoint's successes that may be spent on retries
// to it.
const targetRetryPercent = 20

// EngineView is the newest report of an endpoint. It is immutable; a new report replaces
// it.
type EngineView struct {
	// Excluded is set if it takes no new work: it is leaving, unhealthy or silent.
	Excluded bool
	// Running and Waiting are the requests there, and Version its weight version.
	Running int
	Waiting int
	Version int64
}

// EndpointState is what changes about an endpoint between configurations. It outlives
// plans and is safe for use by many goroutines.
type EndpointState struct {
	// InFlight counts this node's open dispatches.
	InFlight atomic.Int64
	// Failures counts dispatches that failed in a row.
	Failures atomic.Int64
	// Latency is how long its answers take.
	Latency LatencyAverage
	// Retries bounds the retries sent to it.
	Retries *admission.RetryBudget
	// SlowStart bounds what it gets while it warms up.
	SlowStart slowstart.Gate
	evacuated atomic.Bool

	view atomic.Pointer[EngineView]
	// reportedInFlight is InFlight at the time of the newest view, so that
	// the dispatches that the report includes are not counted twice.
	reportedInFlight atomic.Int64
}

// NewEndpointState returns the state of an endpoint without a report: it gets no work
// before the first.
func NewEndpointState() *EndpointState {
	state := &EndpointState{Retries: admission.NewRetryBudget(targetRetryPercent)}
	state.view.Store(&EngineView{Excluded: true})
	return state
}

// SetView replaces the newest report.
func (s *EndpointState) SetView(view EngineView) {
	s.reportedInFlight.Store(s.InFlight.Load())
	s.view.Store(&view)
}

// View returns the newest report.
func (s *EndpointState) View() *EngineView { return s.view.Load() }

// SetEvacuated sets whether the endpoint's zone is evacuated, so that nothing is sent
// there.
func (s *EndpointState) SetEvacuated(evacuated bool) { s.evacuated.Store(evacuated) }

// Evacuated returns whether the endpoint's zone is evacuated.
func (s *EndpointState) Evacuated() bool { return s.evacuated.Load() }
