package routing

import "github.com/pathtally/pathtally/internal/cluster/rendezvous"

// choice is the best endpoint considered so far. The zero choice has none.
type choice struct {
	endpoint *Endpoint
	score    float64
}

// consider replaces the best choice by an endpoint if the filters allow it and its score is
// greater. It reports whether the filters allow the endpoint.
func (p *Plan) consider(best *choice, query *Query, endpoint *Endpoint) bool {
	if !p.filters.Allow(query, endpoint) {
		return false
	}
	if score := p.score(query, endpoint); best.endpoint == nil || score > best.score {
		best.endpoint, best.score = endpoint, score
	}
	return true
}

// cacheHome returns the endpoint whose prefix cache is expected to hold the beginning of the
// prompt, with affinityWeight added to its score. The choice is empty if the query has no
// prompt or the filters refuse the endpoint.
func (p *Plan) cacheHome(query *Query) choice {
	if query.PrefixHash == 0 {
		return choice{}
	}
	home := p.rendezvousHome(query.PrefixHash)
	if !p.filters.Allow(query, home) {
		return choice{}
	}
	return choice{endpoint: home, score: p.score(query, home) + affinityWeight}
}

// rendezvousHome returns the endpoint for the hash of a prompt's beginning. It uses
// rendezvous hashing, so that adding or removing an endpoint moves few prompts.
func (p *Plan) rendezvousHome(prefix uint64) *Endpoint {
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

func (p *Plan) score(query *Query, endpoint *Endpoint) float64 {
	total := 0.0
	for _, scorer := range p.scorers {
		total += scorer.Score(query, endpoint)
	}
	return total
}
