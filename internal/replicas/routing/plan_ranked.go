package routing

import (
	"cmp"
	"slices"

	"github.com/pathtally/pathtally/internal/cluster/rendezvous"
)

// Place is where a node is.
type Place struct {
	Node string
	Zone string
	// Region is the zone's, empty if it is not known.
	Region string
}

// distance returns 0 for endpoints in the place's zone, 1 for those in its region, 2
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

// preference returns the order in which the node at a place prefers endpoints: near ones
// first, and among these by rendezvous hashing.
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

// NewRankedPlan returns a plan of replicas that report no load, for a node at a place.
// Its picks compare the first endpoints in the node's order, so that the nodes together
// use all replicas alike while each keeps few connections.
func NewRankedPlan(place Place, endpoints []*Endpoint) *Plan {
	plan := NewPlan(place.Zone, endpoints)
	plan.ranked = true
	slices.SortFunc(plan.endpoints, place.preference())
	return plan
}

// Revised returns a ranked plan without some endpoints and with others added. It merges
// rather than sorts, since a node revises plans of thousands of endpoints at each change.
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
	revised.local = 0
	for revised.local < len(revised.endpoints) && revised.endpoints[revised.local].Zone == place.Zone {
		revised.local++
	}
	return &revised
}

// bestInRank returns the best of the prompt's cache home and the first subsetSize
// endpoints that the filters allow, the earlier one of two alike. It compares further
// ones while the best is in use beyond subsetMaxUse.
func (p *Plan) bestInRank(query *Query) *Endpoint {
	best := p.cacheHome(query)
	compared := 0
	for _, endpoint := range p.endpoints {
		if compared >= subsetSize && best.endpoint.use() < subsetMaxUse {
			break
		}
		if p.consider(&best, query, endpoint) {
			compared++
		}
	}
	return best.endpoint
}

// use returns the share of the slots that is taken, as far as this node knows.
func (e *Endpoint) use() float64 { return float64(e.Load()) / float64(e.Slots) }
