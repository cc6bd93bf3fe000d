package weightorders

import (
	"maps"
	"slices"

	"github.com/pathtally/pathtally/internal/replicas/directory"
	"github.com/pathtally/pathtally/internal/replicas/routing"
)

// homePlan caches the homes of a service's models until their inputs change. The coordinator
// reads them several times a second, while replicas are added or removed rarely.
type homePlan struct {
	// plan is the routing plan, which is replaced when replicas are added or removed.
	plan          *routing.Plan
	configuration *directory.Configuration
	// evacuated lists the evacuated zones.
	evacuated []string
	shares    []share
	// maxHomes is the maximum number of homes, by model.
	maxHomes map[string]int
	// homes are the replica ids of the homes, by model.
	homes map[string][]string
}

// homesOf returns the replica ids of the homes of each model of a service. Replicas in
// evacuated zones are not homes.
func (c *Coordinator) homesOf(view *directory.View, service string, shares []share, maxHomes map[string]int) map[string][]string {
	next := &homePlan{
		plan: view.Plans[service], configuration: view.Configuration,
		evacuated: slices.Sorted(maps.Keys(view.Evacuated)), shares: shares, maxHomes: maxHomes,
	}
	if current := c.homePlans[service]; current != nil && current.sameInputs(next) {
		return current.homes
	}
	var replicas []*directory.Replica
	for _, replica := range view.Replicas {
		if replica.Service == service && !view.IsEvacuated(replica.Zone) {
			replicas = append(replicas, replica)
		}
	}
	next.homes = map[string][]string{}
	for model, kept := range homes(replicas, shares, maxHomes) {
		for _, replica := range kept {
			next.homes[model] = append(next.homes[model], replica.ID)
		}
	}
	c.homePlans[service] = next
	return next.homes
}

// sameInputs reports whether two plans have the same inputs.
func (p *homePlan) sameInputs(next *homePlan) bool {
	return p.plan == next.plan && p.configuration == next.configuration && slices.Equal(p.evacuated, next.evacuated) &&
		slices.Equal(p.shares, next.shares) && maps.Equal(p.maxHomes, next.maxHomes)
}
