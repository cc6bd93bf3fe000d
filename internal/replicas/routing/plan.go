package routing

import (
	"github.com/ansel1/merry/v2"

	"github.com/pathtally/pathtally/internal/cluster/rendezvous"
)

// Errors of Pick.
var (
	// ErrNoEngineDeclared means that the configuration declares no endpoint for the request.
	ErrNoEngineDeclared = merry.Sentinel("no engine is declared for the request")
	// ErrNoEngineAvailable means that the filters refuse every endpoint.
	ErrNoEngineAvailable = merry.Sentinel("no engine is available for the request")
)

// Plan holds the endpoints that the configuration allows for a service, traffic group or
// trainer. It is immutable.
type Plan struct {
	// endpoints has the endpoints of the node's own zone first.
	endpoints []*Endpoint
	// local is the number of endpoints in the node's own zone.
	local int
	// ranked is set if the endpoints are in the node's order of preference.
	ranked  bool
	filters Chain
	scorers []Scorer
}

// NewPlan returns a plan for a node in the given zone. Its picks compare a few endpoints
// chosen at random.
func NewPlan(zone string, endpoints []*Endpoint) *Plan {
	plan := &Plan{filters: RequestChain, scorers: requestScorers}
	for _, endpoint := range endpoints {
		if endpoint.Zone == zone {
			plan.endpoints = append(plan.endpoints, endpoint)
		}
	}
	plan.local = len(plan.endpoints)
	for _, endpoint := range endpoints {
		if endpoint.Zone != zone {
			plan.endpoints = append(plan.endpoints, endpoint)
		}
	}
	return plan
}

// Endpoints returns the endpoints of the plan. The caller must not modify the slice.
func (p *Plan) Endpoints() []*Endpoint { return p.endpoints }

// Pick returns the endpoint for a request. The error is ErrNoEngineDeclared or a
// *NoEligibleEndpointError. If no endpoint is eligible, this node requests permits for the
// replicas that are warming up.
func (p *Plan) Pick(query *Query) (*Endpoint, error) {
	if len(p.endpoints) == 0 {
		return nil, ErrNoEngineDeclared
	}
	best := p.best(query)
	if best == nil {
		p.requestPermits()
		return nil, &NoEligibleEndpointError{Reason: p.filters.Explain(query, p.endpoints)}
	}
	return best, nil
}

// best returns the endpoint to pick, or nil.
func (p *Plan) best(query *Query) *Endpoint {
	if p.ranked {
		return p.bestRanked(query)
	}
	if sampled := p.bestSampled(query); sampled != nil {
		return sampled
	}
	return p.bestOfAll(query)
}

// requestPermits records demand for a permit at each closed slow-start gate.
func (p *Plan) requestPermits() {
	for _, endpoint := range p.endpoints {
		endpoint.State.SlowStart.CheckPermit()
	}
}

// bestSampled returns the best of the prompt's cache home, localSamples random endpoints of
// the node's zone and globalSamples random endpoints of any zone.
func (p *Plan) bestSampled(query *Query) *Endpoint {
	best := p.cacheHome(query)
	random := query.Random
	for range localSamples {
		if p.local > 0 {
			random = rendezvous.Weight(random, randomStep)
			p.consider(&best, query, p.endpoints[random%uint64(p.local)])
		}
	}
	for range globalSamples {
		random = rendezvous.Weight(random, randomStep)
		p.consider(&best, query, p.endpoints[random%uint64(len(p.endpoints))])
	}
	return best.endpoint
}

// bestOfAll returns the best of all endpoints.
func (p *Plan) bestOfAll(query *Query) *Endpoint {
	best := choice{}
	for _, endpoint := range p.endpoints {
		p.consider(&best, query, endpoint)
	}
	return best.endpoint
}

// randomStep is hashed with the query's random number to derive the next one.
const randomStep = 0x9e3779b97f4a7c15
