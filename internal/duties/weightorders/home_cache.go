package weightorders

import (
	"maps"
	"slices"

	"github.com/pathtally/pathtally/internal/replicas/directory"
	"github.com/pathtally/pathtally/internal/replicas/routing"
)

// homePlan is the homes of a service's models, kept until something that they depend on
// changes: the coordinator needs them ten times a second, and replicas come and go seldom.
type homePlan struct {
	// plan is that of the routing, which stays while no replica comes or goes.
	plan          *routing.Plan
	configuration *directory.Configuration
	// evacuated are zones.
	evacuated []string
	shares    []share
	// maxHomes bounds the homes of each model.
	maxHomes map[string]int
	// homes are the ids of the replicas of each model.
	homes map[string][]string
}

// homesOf returns the ids of the homes of each model of a service. Replicas of evacuated
// zones get nothing and are no homes.
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

// sameInputs reports whether two plans are made from the same inputs.
func (p *homePlan) sameInputs(next *homePlan) bool {
	return p.plan == next.plan && p.configuration == next.configuration && slices.Equal(p.evacuated, next.evacuated) &&
		slices.Equal(p.shares, next.shares) && maps.Equal(p.maxHomes, next.maxHomes)
}
