package weightorders

import (
	"cmp"
	"slices"

	"github.com/pathtally/pathtally/internal/cluster/rendezvous"
	"github.com/pathtally/pathtally/internal/replicas/routing"
)

// leastCandidates is how many replicas the items of a model are placed among at least,
// and candidateShare how many for each of its homes: a replica that weighs much for a
// model is nearly always one of its homes.
const (
	leastCandidates = 256
	candidateShare  = 2
)

// Candidates are the replicas of a plan among which the items of a model's jobs are
// placed: all where they are few, else those of greatest weight for the model, so that
// they hold its homes. Looking at thousands of replicas for each item is what a node that
// runs jobs would spend its time on.
func Candidates(plan *routing.Plan, model string, items int) []*routing.Endpoint {
	endpoints := plan.Endpoints()
	count := max(leastCandidates, candidateShare*mostHomes(items, slotsOf(plan)))
	if len(endpoints) <= count {
		return endpoints
	}
	type weighed struct {
		endpoint *routing.Endpoint
		weight   uint64
	}
	modelHash := rendezvous.Hash(model)
	all := make([]weighed, len(endpoints))
	for i, endpoint := range endpoints {
		all[i] = weighed{endpoint, rendezvous.Weight(rendezvous.Hash(endpoint.Name), modelHash)}
	}
	slices.SortFunc(all, func(a, b weighed) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.endpoint.Name, b.endpoint.Name))
	})
	chosen := make([]*routing.Endpoint, count)
	for i := range chosen {
		chosen[i] = all[i].endpoint
	}
	return chosen
}
