package routing

import (
	"sync/atomic"

	"github.com/pathtally/pathtally/internal/callers/admission"
	"github.com/pathtally/pathtally/internal/replicas/slowstart"
)

// endpointRetryPercent limits the retries to an endpoint, as a percentage of its successes.
const endpointRetryPercent = 20

// EndpointReport is the most recent report of an endpoint. It is immutable; a new report
// replaces it.
type EndpointReport struct {
	// Excluded is set if the endpoint takes no new work: it is draining, unhealthy or does
	// not respond.
	Excluded bool
	// Running and Waiting are the numbers of requests at the endpoint.
	Running int
	Waiting int
	// Version is the weight version.
	Version int64
}

// EndpointState is the state of an endpoint that outlives plans and configurations. It is
// safe for concurrent use.
type EndpointState struct {
	// InFlight counts this node's requests in flight.
	InFlight atomic.Int64
	// Failures counts consecutive failed requests of this node.
	Failures atomic.Int64
	// Latency averages the response times.
	Latency LatencyAverage
	// Retries limits the retries to the endpoint.
	Retries *admission.RetryBudget
	// SlowStart limits the requests to the endpoint while it warms up.
	SlowStart slowstart.Gate
	evacuated atomic.Bool
	// reportedLoad is the load in the replica's most recent answer; nil if there was none.
	reportedLoad atomic.Pointer[receivedLoad]
	// loadFault is set after the first unusable load report.
	loadFault atomic.Bool

	report atomic.Pointer[EndpointReport]
	// inFlightAtReport is InFlight at the time of the most recent report, so that requests
	// that the report includes are not counted twice.
	inFlightAtReport atomic.Int64
}

// NewEndpointState returns the state of an endpoint without a report. The endpoint is
// excluded until the first report.
func NewEndpointState() *EndpointState {
	state := &EndpointState{Retries: admission.NewRetryBudget(endpointRetryPercent)}
	state.Latency.slowdown = state.ReportedSlowdown
	state.report.Store(&EndpointReport{Excluded: true})
	return state
}

// SetReport replaces the most recent report.
func (s *EndpointState) SetReport(report EndpointReport) {
	s.inFlightAtReport.Store(s.InFlight.Load())
	s.report.Store(&report)
}

// Report returns the most recent report.
func (s *EndpointState) Report() *EndpointReport { return s.report.Load() }

// SetEvacuated sets whether the endpoint's zone is evacuated. No requests are sent to
// endpoints in evacuated zones.
func (s *EndpointState) SetEvacuated(evacuated bool) { s.evacuated.Store(evacuated) }

// Evacuated reports whether the endpoint's zone is evacuated.
func (s *EndpointState) Evacuated() bool { return s.evacuated.Load() }
