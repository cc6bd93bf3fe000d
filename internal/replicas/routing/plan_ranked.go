package routing

import (
	"cmp"
	"slices"

	"github.com/pathtally/pathtally/internal/cluster/rendezvous"
)

// Locality is the location of a node.
type Locality struct {
	Node string
	Zone string
	// Region is the region of the zone, empty if unknown.
	Region string
}

// distance returns 0 for endpoints in the same zone, 1 for those in the same region, and 2
// for others.
func (l Locality) distance(endpoint *Endpoint) int {
	switch {
	case endpoint.Zone == l.Zone:
		return 0
	case endpoint.Region == l.Region && l.Region != "":
		return 1
	}
	return 2
}

// preference returns the comparison that orders endpoints by distance, and by rendezvous
// hashing with the node's name at the same distance.
func (l Locality) preference() func(a, b *Endpoint) int {
	node := hashOf(l.Node)
	return func(a, b *Endpoint) int {
		return cmp.Or(
			cmp.Compare(l.distance(a), l.distance(b)),
			cmp.Compare(rendezvous.Weight(node, b.Hash), rendezvous.Weight(node, a.Hash)),
			cmp.Compare(a.Name, b.Name),
		)
	}
}

// NewRankedPlan returns a plan of replicas that report no load. Its picks compare the first
// endpoints in the node's order of preference. The orders of the nodes differ, so that the
// replicas get similar load while each node uses few connections.
func NewRankedPlan(locality Locality, endpoints []*Endpoint) *Plan {
	plan := NewPlan(locality.Zone, endpoints)
	plan.ranked = true
	slices.SortFunc(plan.endpoints, locality.preference())
	return plan
}

// Revised returns a copy of a ranked plan with some endpoints removed and others added. It
// merges instead of sorting, since plans may have thousands of endpoints and are revised at
// every change.
func (p *Plan) Revised(locality Locality, removed map[*Endpoint]bool, added []*Endpoint) *Plan {
	preference := locality.preference()
	slices.SortFunc(added, preference)
	revised := *p
	revised.endpoints = make([]*Endpoint, 0, len(p.endpoints)+len(added))
	for _, endpoint := range p.endpoints {
		if removed[endpoint] {
			continue
		}
		for len(added) > 0 && preference(added[0], endpoint) < 0 {
			revised.endpoints, added = append(revised.endpoints, added[0]), added[1:]
		}
		revised.endpoints = append(revised.endpoints, endpoint)
	}
	revised.endpoints = append(revised.endpoints, added...)
	revised.local = 0
	for revised.local < len(revised.endpoints) && revised.endpoints[revised.local].Zone == locality.Zone {
		revised.local++
	}
	return &revised
}

// bestRanked returns the best of the prompt's cache home and the first subsetSize endpoints
// that the filters allow. Of equal scores, the first wins. It compares further endpoints
// while the best is busy.
func (p *Plan) bestRanked(query *Query) *Endpoint {
	best := p.cacheHome(query)
	compared := 0
	for _, endpoint := range p.endpoints {
		if compared >= subsetSize && !best.endpoint.isBusy() {
			break
		}
		if p.consider(&best, query, endpoint) {
			compared++
		}
	}
	return best.endpoint
}

// isBusy reports whether the requests that this node knows of use at least subsetMaxUtilization
// of the endpoint's slots, or no slot is free according to the endpoint's report. The limit does
// not apply to reports, which count the requests of all nodes: usual ones exceed it, and every
// node would open connections to all replicas.
func (e *Endpoint) isBusy() bool {
	known := e.knownLoad()
	return float64(known) >= subsetMaxUtilization*float64(e.Slots) || known+e.reportedExcess() >= int64(e.Slots)
}
