package weightorders

import (
	"cmp"
	"slices"

	"github.com/pathtally/pathtally/internal/directory"
	"github.com/pathtally/pathtally/internal/rendezvous"
)

// task is a replica that is to get a model's version.
type task struct {
	target  Target
	model   string
	version int64
	has     int64
}

// homes shares the replicas of a service among the models that its engines
// serve. A replica that keeps up with one model need not load the others'
// versions, and the loads that the weight store allows are enough.
func homes(replicas []*directory.Replica, models []string) map[string]string {
	shared := map[string]string{}
	if len(models) == 0 {
		return shared
	}
	capacity := (len(replicas) + len(models) - 1) / len(models)
	counts := map[string]int{}
	ordered := slices.Clone(replicas)
	slices.SortFunc(ordered, func(a, b *directory.Replica) int { return cmp.Compare(a.ID, b.ID) })
	for _, replica := range ordered {
		best, bestWeight := "", uint64(0)
		for _, model := range models {
			weight := rendezvous.Weight(rendezvous.Hash(replica.ID), rendezvous.Hash(model))
			if counts[model] < capacity && (best == "" || weight > bestWeight) {
				best, bestWeight = model, weight
			}
		}
		counts[best]++
		shared[replica.ID] = best
	}
	return shared
}

// tasks are all replicas that lack the named version of their home model.
func tasks(view *directory.View, version func(replica, model string) int64) []task {
	if view.Configuration == nil {
		return nil
	}
	byService := map[string][]*directory.Replica{}
	for _, replica := range view.Replicas {
		byService[replica.Service] = append(byService[replica.Service], replica)
	}
	var open []task
	for name, replicas := range byService {
		service, declared := view.Configuration.Services[name]
		if !declared || service.Engine == nil {
			continue
		}
		for id, model := range homes(replicas, service.Engine.Models) {
			named := view.Named[model]
			if has := version(id, model); named > has {
				replica := view.Replicas[id]
				open = append(open, task{target: Target{ID: id, Address: replica.Address}, model: model, version: named, has: has})
			}
		}
	}
	return open
}
