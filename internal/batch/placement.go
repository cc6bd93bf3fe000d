package batch

import (
	"slices"
	"time"

	"github.com/pathtally/pathtally/internal/directory"
	"github.com/pathtally/pathtally/internal/homes"
	"github.com/pathtally/pathtally/internal/routing"
)

const (
	// slowPenalty puts slow replicas behind all others, in full loads.
	slowPenalty = 10
	// paceBias puts a replica whose events take longer than the fastest's behind
	// others, in full loads for each time that they take longer: it is used once
	// the others are nearly full.
	paceBias = 3
	// warmBonus prefers replicas that this node has connections to over those
	// it would have to connect to, in full loads.
	warmBonus = 0.3
	// warmTime is for how long after an event from it a replica counts as one
	// that this node has connections to.
	warmTime = 4 * time.Second
)

// place is a replica that items may go to.
type place struct {
	endpoint *routing.Endpoint
	load     int
	// most is how many items may run there.
	most int
	// bias is added to the use when places are compared.
	bias float64
}

// use is the part of the slots that is taken.
func (p *place) use() float64 { return float64(p.load)/float64(p.endpoint.Slots) + p.bias }

// placeKey names the items that may go to the same replicas.
type placeKey struct {
	route      string
	model      string
	minVersion int64
	tenant     string
}

// placement picks replicas for many items in a row: what holds for all of them
// is worked out once. The service's mutex must be held while it is used.
type placement struct {
	service *Service
	view    *directory.View
	paces   paces
	// loads are the items that run at each replica, from all nodes.
	loads  map[string]int
	places map[placeKey][]*place
	// byName joins the places of one replica, since they share its slots.
	byName map[string]*place
}

// newPlacement returns a placement for the directory's view of now. The mutex
// must be held.
func (s *Service) newPlacement() *placement {
	return &placement{
		service: s, view: s.config.Directory.View(), paces: s.paces(), loads: s.loads(),
		places: map[placeKey][]*place{}, byName: map[string]*place{},
	}
}

// loads are the items that run at each replica, from all nodes. The mutex must
// be held.
func (s *Service) loads() map[string]int {
	loads := make(map[string]int, len(s.replicas))
	for id, state := range s.replicas {
		loads[id] = state.running
	}
	for _, uses := range s.uses {
		if time.Since(uses.at) < usesAge {
			for id, running := range uses.running {
				loads[id] += running
			}
		}
	}
	return loads
}

// pick returns the least used replica that has the weights for an item, is not
// loading and has a free slot, nil for none. Slow and failing ones come last. An
// item goes to no replica again that has failed it, as long as there are others.
func (p *placement) pick(waiting *item) *place {
	var best *place
	places := p.of(waiting)
	failedEverywhere := len(waiting.failedAt) >= len(places)
	for _, candidate := range places {
		if candidate.load >= candidate.most || (best != nil && candidate.use() >= best.use()) {
			continue
		}
		if failedEverywhere || !slices.Contains(waiting.failedAt, candidate.endpoint.Name) {
			best = candidate
		}
	}
	return best
}

// of lists the replicas that an item may go to once they have a free slot.
func (p *placement) of(waiting *item) []*place {
	key := placeKey{route: waiting.job.record.Route, model: waiting.job.submission.Model, minVersion: waiting.job.submission.MinVersion, tenant: waiting.job.record.Tenant}
	places, known := p.places[key]
	if known || p.view.Configuration == nil {
		return places
	}
	if route := routeOf(p.view.Configuration, key.route); route != nil {
		query := &routing.Query{Rollout: true, Homes: homes.Of(route.Homes, p.view.Configuration.Tenants.HomesOf(key.tenant))}
		for _, target := range route.Targets {
			if plan := p.view.Plans[target.Service]; plan != nil {
				places = p.add(places, plan.Endpoints(), key, query)
			}
		}
	}
	p.places[key] = places
	return places
}

// add adds the replicas that are not barred from some items.
func (p *placement) add(places []*place, endpoints []*routing.Endpoint, key placeKey, query *routing.Query) []*place {
	now := time.Now()
	for _, endpoint := range endpoints {
		state := p.service.replica(endpoint.Name)
		known := p.service.version(p.view, endpoint.Name, key.model)
		if !routing.ItemChain.Allow(query, endpoint) {
			continue
		}
		if now.Before(state.blockedUntil) || state.loading(key.model) || (known > 0 && known < key.minVersion) {
			continue
		}
		shared := p.byName[endpoint.Name]
		if shared == nil {
			shared = &place{endpoint: endpoint, load: p.loads[endpoint.Name], most: endpoint.Slots, bias: p.bias(endpoint.Name, state, now)}
			if state.failures.failing(now) {
				shared.most = min(failingRuns, endpoint.Slots)
			}
			p.byName[endpoint.Name] = shared
		}
		places = append(places, shared)
	}
	return places
}

func (p *placement) bias(id string, state *replicaState, now time.Time) float64 {
	bias := paceBias * p.paces.excess(id)
	if p.paces.slow(id) || state.failures.failing(now) {
		bias += slowPenalty
	}
	if now.Sub(state.observed) < warmTime {
		bias -= warmBonus
	}
	return bias
}
