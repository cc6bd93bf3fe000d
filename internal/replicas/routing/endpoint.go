package routing

import "github.com/pathtally/pathtally/internal/cluster/rendezvous"

// Endpoint is a replica, or an engine in the standalone stack. It is immutable except for
// State.
type Endpoint struct {
	// Name is unique to each incarnation of the replica.
	Name string
	// Instance is the name that requests to the replica carry. It does not change across
	// restarts. Empty if it equals Name.
	Instance string
	Address  string
	Zone     string
	// Region is the region of the zone, empty if unknown.
	Region string
	Model  string
	Slots  int
	// Hash is the hash of Name for rendezvous hashing.
	Hash uint64
	// TakesRequests is set if the endpoint takes live requests, TakesRollouts if it takes
	// rollouts.
	TakesRequests bool
	TakesRollouts bool
	// Cordoned is set if the configuration excludes the endpoint from new work.
	Cordoned bool
	State    *EndpointState
}

// InstanceName returns the name that requests to the replica carry.
func (e *Endpoint) InstanceName() string {
	if e.Instance == "" {
		return e.Name
	}
	return e.Instance
}

// Excluded reports whether the endpoint gets no new work.
func (e *Endpoint) Excluded() bool { return e.Cordoned || e.State.Report().Excluded }

// Version returns the most recently reported weight version.
func (e *Endpoint) Version() int64 { return e.State.Report().Version }

// Load estimates the current number of requests at the endpoint: what this node knows itself,
// or the load that the replica reported with an answer if that is greater.
func (e *Endpoint) Load() int64 { return e.knownLoad() + e.reportedExcess() }

// knownLoad returns the number of requests of the most recent EndpointReport plus the change of
// this node's in-flight requests since then.
func (e *Endpoint) knownLoad() int64 {
	report := e.State.Report()
	sentSince := e.State.InFlight.Load() - e.State.inFlightAtReport.Load()
	return max(0, int64(report.Running+report.Waiting)+sentSince)
}

// NewReplicaEndpoint returns the endpoint of a replica that takes live requests and items of
// one service.
func NewReplicaEndpoint(name, address, zone, region, service string, slots int, state *EndpointState) *Endpoint {
	return &Endpoint{
		Name: name, Address: address, Zone: zone, Region: region, Model: service, Slots: max(1, slots), Hash: hashOf(name),
		TakesRequests: true, TakesRollouts: true, State: state,
	}
}

func hashOf(name string) uint64 { return rendezvous.Hash(name) }
