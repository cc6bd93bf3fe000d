package routing

import (
	"cmp"
	"slices"

	"github.com/pathtally/pathtally/internal/cluster/rendezvous"
)

const (
	// subsetSize is how many replicas, the first in a node's rank that a request may
	// go to, are compared. A request that goes to few replicas finds connections.
	subsetSize = 4
	// subsetUse is the part of its slots, between 0 and 1, that this node may have
	// taken at the best of a subset before further replicas are compared too.
	subsetUse = 0.25
)

// Place is where a node is.
type Place struct {
	Node   string
	Zone   string
	Region string
}

// distance is 0 for replicas of the place's own zone, 1 for those of its region, 2
// for others.
func (p Place) distance(endpoint *Endpoint) int {
	switch {
	case endpoint.Zone == p.Zone:
		return 0
	case endpoint.Region == p.Region && p.Region != "":
		return 1
	}
	return 2
}

// NewRankedPlan returns a plan of replicas that report no load, for a node at a place.
// The node picks in an order of its own: near replicas first, and among these by
// rendezvous hashing, so that the nodes together use all alike while each has few
// connections.
func NewRankedPlan(place Place, endpoints []*Endpoint) *Plan {
	plan := NewPlan(place.Zone, endpoints)
	plan.ranked = true
	slices.SortFunc(plan.endpoints, place.preference())
	return plan
}

// preference orders endpoints as the node at a place prefers them.
func (p Place) preference() func(a, b *Endpoint) int {
	node := hashOf(p.Node)
	return func(a, b *Endpoint) int {
		return cmp.Or(
			cmp.Compare(p.distance(a), p.distance(b)),
			cmp.Compare(rendezvous.Weight(node, b.Hash), rendezvous.Weight(node, a.Hash)),
			cmp.Compare(a.Name, b.Name),
		)
	}
}

// Revised returns a ranked plan with some endpoints gone and others added. It costs a
// walk along the plan: among thousands of replicas, ranking all for each that comes or
// goes took most of what a change costs a node.
func (p *Plan) Revised(place Place, gone map[*Endpoint]bool, added []*Endpoint) *Plan {
	preference := place.preference()
	slices.SortFunc(added, preference)
	revised := *p
	revised.endpoints = make([]*Endpoint, 0, len(p.endpoints)+len(added))
	for _, endpoint := range p.endpoints {
		if gone[endpoint] {
			continue
		}
		for len(added) > 0 && preference(added[0], endpoint) < 0 {
			revised.endpoints, added = append(revised.endpoints, added[0]), added[1:]
		}
		revised.endpoints = append(revised.endpoints, endpoint)
	}
	revised.endpoints = append(revised.endpoints, added...)
	revised.near = 0
	for revised.near < len(revised.endpoints) && revised.endpoints[revised.near].Zone == place.Zone {
		revised.near++
	}
	return &revised
}

// first returns the best of the first replicas in rank that allow a request, the
// earlier one of two alike. It looks at more of them where these are in use.
func (p *Plan) first(query *Query) *Endpoint {
	best, bestScore := p.favoured(query)
	compared := 0
	for _, endpoint := range p.endpoints {
		if compared >= subsetSize && best.use() < subsetUse {
			break
		}
		if !p.filters.Allow(query, endpoint) {
			continue
		}
		compared++
		if score := p.score(query, endpoint); best == nil || score > bestScore {
			best, bestScore = endpoint, score
		}
	}
	return best
}

// favoured is the replica that should have read a request's prompt before, nil if
// there is none or it is not allowed.
func (p *Plan) favoured(query *Query) (*Endpoint, float64) {
	if query.PrefixHash == 0 {
		return nil, 0
	}
	home := p.home(query.PrefixHash)
	if !p.filters.Allow(query, home) {
		return nil, 0
	}
	return home, p.score(query, home) + affinityWeight
}

// use is the part of the slots that is taken, as far as is known.
func (e *Endpoint) use() float64 { return float64(e.Load()) / float64(e.Slots) }
