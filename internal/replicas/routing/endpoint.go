package routing

import (
	"sync/atomic"

	"github.com/pathtally/pathtally/internal/callers/admission"
	"github.com/pathtally/pathtally/internal/cluster/rendezvous"
	"github.com/pathtally/pathtally/internal/replicas/slowstart"
)

// targetRetryPercent is the share of an engine's successes that may be spent
// on retries to it.
const targetRetryPercent = 20

// Endpoint is one engine as a plan sees it. It is immutable but for State.
type Endpoint struct {
	// Name is new at each start of the engine.
	Name string
	// Instance is what the engine answers to, the same over its starts; empty where that
	// is the name.
	Instance string
	Address  string
	Zone     string
	// Region is the zone's, "" if it is not known.
	Region string
	Model  string
	Slots  int
	Hash   uint64
	// Serves and Rollouts follow the engine's declared role.
	Serves   bool
	Rollouts bool
	// Cordoned follows the declaration.
	Cordoned bool
	State    *EndpointState
}

// EngineView is what is known of an engine besides its declaration. It is
// immutable; a new report replaces it.
type EngineView struct {
	// Excluded means that the engine takes no new work: it is leaving,
	// unhealthy or silent.
	Excluded bool
	Running  int
	Waiting  int
	Version  int64
}

// EndpointState is what changes about an engine between configurations. It
// outlives snapshots and is shared by all workers.
type EndpointState struct {
	// InFlight counts this node's open dispatches.
	InFlight atomic.Int64
	// Failures counts dispatches that failed in a row.
	Failures atomic.Int64
	// Latency is how long its answers have taken of late.
	Latency LatencyAverage
	// Retries bounds the retries sent to the engine.
	Retries *admission.RetryBudget
	// SlowStart bounds what the replica gets while it warms up.
	SlowStart slowstart.Gate
	evacuated atomic.Bool

	view atomic.Pointer[EngineView]
	// reportedInFlight is InFlight at the time of the newest view, so that
	// the dispatches that the report includes are not counted twice.
	reportedInFlight atomic.Int64
}

// NewEndpointState returns the state of an engine of which nothing is known,
// so that it gets no work before its first report.
func NewEndpointState() *EndpointState {
	state := &EndpointState{Retries: admission.NewRetryBudget(targetRetryPercent)}
	state.view.Store(&EngineView{Excluded: true})
	return state
}

// SetView replaces what is known of the engine.
func (s *EndpointState) SetView(view EngineView) {
	s.reportedInFlight.Store(s.InFlight.Load())
	s.view.Store(&view)
}

// View returns what is known of the engine.
func (s *EndpointState) View() *EngineView { return s.view.Load() }

// SetEvacuated tells whether nothing is to be sent to the replica's zone.
func (s *EndpointState) SetEvacuated(evacuated bool) { s.evacuated.Store(evacuated) }

// Evacuated tells whether nothing is to be sent to the replica's zone.
func (s *EndpointState) Evacuated() bool { return s.evacuated.Load() }

// InstanceName is what the engine answers to.
func (e *Endpoint) InstanceName() string {
	if e.Instance == "" {
		return e.Name
	}
	return e.Instance
}

// Excluded tells whether the engine gets no new work.
func (e *Endpoint) Excluded() bool { return e.Cordoned || e.State.View().Excluded }

// Version is the weight version last reported.
func (e *Endpoint) Version() int64 { return e.State.View().Version }

// Load estimates the engine's sequences now: those reported plus what this
// node has changed since.
func (e *Endpoint) Load() int64 {
	view := e.State.View()
	since := e.State.InFlight.Load() - e.State.reportedInFlight.Load()
	return max(0, int64(view.Running+view.Waiting)+since)
}

// NewReplicaEndpoint returns the endpoint of a back end that takes both live
// requests and rollouts of one service.
func NewReplicaEndpoint(name, address, zone, region, service string, slots int, state *EndpointState) *Endpoint {
	return &Endpoint{
		Name: name, Address: address, Zone: zone, Region: region, Model: service, Slots: max(1, slots), Hash: hashOf(name),
		Serves: true, Rollouts: true, State: state,
	}
}

func hashOf(name string) uint64 { return rendezvous.Hash(name) }
