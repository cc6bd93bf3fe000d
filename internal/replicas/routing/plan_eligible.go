package routing

import (
	"cmp"
	"slices"
)

// Eligible returns the endpoints that the filters allow, best score first. Endpoints of equal
// scores keep the order of the plan.
func (p *Plan) Eligible(query *Query) []*Endpoint {
	if len(p.endpoints) == 0 {
		return nil
	}
	var choices []choice
	home := p.cacheHome(query).endpoint
	for _, endpoint := range p.endpoints {
		if p.filters.Allow(query, endpoint) {
			score := p.score(query, endpoint)
			if endpoint == home {
				score += affinityWeight
			}
			choices = append(choices, choice{endpoint: endpoint, score: score})
		}
	}
	slices.SortStableFunc(choices, func(a, b choice) int { return cmp.Compare(b.score, a.score) })
	endpoints := make([]*Endpoint, 0, len(choices))
	for _, eligible := range choices {
		endpoints = append(endpoints, eligible.endpoint)
	}
	return endpoints
}
