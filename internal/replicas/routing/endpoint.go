package routing

import "github.com/pathtally/pathtally/internal/cluster/rendezvous"

// Endpoint is one replica, or engine of the standalone stack, in plans. It is immutable
// but for State.
type Endpoint struct {
	// Name is new at each start of the replica.
	Name string
	// Instance is the name that requests to the replica carry, the same over its starts;
	// empty where that is Name.
	Instance string
	Address  string
	Zone     string
	// Region is the zone's, empty if it is not known.
	Region string
	Model  string
	Slots  int
	// Hash places the endpoint in rendezvous hashing.
	Hash uint64
	// Serves and Rollouts are set if it takes live requests and rollouts.
	Serves   bool
	Rollouts bool
	// Cordoned is set if the configuration gives it no new work.
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

// Excluded returns whether the endpoint gets no new work.
func (e *Endpoint) Excluded() bool { return e.Cordoned || e.State.View().Excluded }

// Version returns the weight version last reported.
func (e *Endpoint) Version() int64 { return e.State.View().Version }

// Load estimates the requests at the endpoint now: those reported, and what this node
// has sent less what has ended since.
func (e *Endpoint) Load() int64 {
	view := e.State.View()
	since := e.State.InFlight.Load() - e.State.reportedInFlight.Load()
	return max(0, int64(view.Running+view.Waiting)+since)
}

// NewReplicaEndpoint returns the endpoint of a replica that takes both live requests and
// items of one service.
func NewReplicaEndpoint(name, address, zone, region, service string, slots int, state *EndpointState) *Endpoint {
	return &Endpoint{
		Name: name, Address: address, Zone: zone, Region: region, Model: service, Slots: max(1, slots), Hash: hashOf(name),
		Serves: true, Rollouts: true, State: state,
	}
}

func hashOf(name string) uint64 { return rendezvous.Hash(name) }
