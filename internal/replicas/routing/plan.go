package routing

import (
	"github.com/ansel1/merry/v2"

	"github.com/pathtally/pathtally/internal/cluster/rendezvous"
)

// Errors of Pick.
var (
	// ErrNoEngineDeclared means that no rule allows any engine.
	ErrNoEngineDeclared = merry.Sentinel("no engine is declared for the request")
	// ErrNoEngineAvailable means that every engine allowed is leaving, silent,
	// full or on other weights.
	ErrNoEngineAvailable = merry.Sentinel("no engine is available for the request")
)

const (
	// nearDraws and anyDraws are how many candidates are drawn at random.
	nearDraws = 2
	anyDraws  = 2
)

// Plan is the engines allowed to one traffic group or trainer. It is
// immutable.
type Plan struct {
	// endpoints has those of the node's own zone first.
	endpoints []*Endpoint
	near      int
	// ranked tells that the endpoints stand in the order in which they are preferred.
	ranked  bool
	filters Chain
	scorers []Scorer
}

// NewPlan returns a plan for a node in a zone.
func NewPlan(zone string, endpoints []*Endpoint) *Plan {
	plan := &Plan{
		filters: RequestChain,
		scorers: []Scorer{LoadScorer{}, ZoneScorer{}, FailureScorer{}, LatencyScorer{}},
	}
	for _, endpoint := range endpoints {
		if endpoint.Zone == zone {
			plan.endpoints = append(plan.endpoints, endpoint)
		}
	}
	plan.near = len(plan.endpoints)
	for _, endpoint := range endpoints {
		if endpoint.Zone != zone {
			plan.endpoints = append(plan.endpoints, endpoint)
		}
	}
	return plan
}

// Endpoints lists the engines of the plan.
func (p *Plan) Endpoints() []*Endpoint { return p.endpoints }

// Pick returns the best of a few candidates, drawn or first in rank; only when none
// of them will do does it look at all.
func (p *Plan) Pick(query *Query) (*Endpoint, error) {
	if len(p.endpoints) == 0 {
		return nil, ErrNoEngineDeclared
	}
	best := p.candidate(query)
	if best == nil {
		p.wantWarming()
		return nil, &NoneLeftError{Reason: p.filters.Explain(query, p.endpoints)}
	}
	return best, nil
}

// candidate is the engine to pick, nil for none.
func (p *Plan) candidate(query *Query) *Endpoint {
	if p.ranked {
		return p.first(query)
	}
	if drawn := p.draw(query); drawn != nil {
		return drawn
	}
	return p.scan(query)
}

// wantWarming notes that requests want to go to the replicas that warm up: a gate that
// is found closed has this node ask for an allotment.
func (p *Plan) wantWarming() {
	for _, endpoint := range p.endpoints {
		endpoint.State.SlowStart.Open()
	}
}

func (p *Plan) draw(query *Query) *Endpoint {
	var best *Endpoint
	bestScore := 0.0
	consider := func(endpoint *Endpoint, bonus float64) {
		if !p.filters.Allow(query, endpoint) {
			return
		}
		score := p.score(query, endpoint) + bonus
		if best == nil || score > bestScore {
			best, bestScore = endpoint, score
		}
	}
	if query.PrefixHash != 0 {
		consider(p.home(query.PrefixHash), affinityWeight)
	}
	random := query.Random
	for range nearDraws {
		if p.near > 0 {
			random = rendezvous.Weight(random, hashStep)
			consider(p.endpoints[random%uint64(p.near)], 0)
		}
	}
	for range anyDraws {
		random = rendezvous.Weight(random, hashStep)
		consider(p.endpoints[random%uint64(len(p.endpoints))], 0)
	}
	return best
}

// hashStep advances the caller's random number.
const hashStep = 0x9e3779b97f4a7c15

// home is the engine whose prefix cache should hold a prompt's beginning.
// Rendezvous hashing moves few prompts when an engine comes or goes.
func (p *Plan) home(prefix uint64) *Endpoint {
	home := p.endpoints[0]
	greatest := uint64(0)
	for _, endpoint := range p.endpoints {
		weight := rendezvous.Weight(prefix, endpoint.Hash)
		if weight >= greatest {
			home, greatest = endpoint, weight
		}
	}
	return home
}

func (p *Plan) scan(query *Query) *Endpoint {
	var best *Endpoint
	bestScore := 0.0
	for _, endpoint := range p.endpoints {
		if !p.filters.Allow(query, endpoint) {
			continue
		}
		score := p.score(query, endpoint)
		if best == nil || score > bestScore {
			best, bestScore = endpoint, score
		}
	}
	return best
}

func (p *Plan) score(query *Query, endpoint *Endpoint) float64 {
	total := 0.0
	for _, scorer := range p.scorers {
		total += scorer.Score(query, endpoint)
	}
	return total
}
