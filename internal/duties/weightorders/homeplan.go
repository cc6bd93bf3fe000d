package weightorders

import (
	"maps"
	"slices"

	"github.com/pathtally/pathtally/internal/replicas/directory"
	"github.com/pathtally/pathtally/internal/replicas/routing"
)

// homePlan keeps the homes of a service's models until something that they depend on
// changes: a look for orders comes ten times a second, and replicas come and go seldom.
type homePlan struct {
	// plan is that of the routing, which stays while no replica comes or goes.
	plan          *routing.Plan
	configuration *directory.Configuration
	evacuated     []string
	shares        []share
	most          map[string]int
	// homes are the ids of the replicas of each model.
	homes map[string][]string
}

// homesOf returns the ids of the replicas that keep up with each model of a service.
func (c *Coordinator) homesOf(view *directory.View, service string, shares []share, most map[string]int) map[string][]string {
	next := &homePlan{
		plan: view.Plans[service], configuration: view.Configuration,
		evacuated: slices.Sorted(maps.Keys(view.Evacuated)), shares: shares, most: most,
	}
	if standing := c.homePlans[service]; standing != nil && standing.holds(next) {
		return standing.homes
	}
	var replicas []*directory.Replica
	for _, replica := range view.Replicas {
		if replica.Service == service && !view.IsEvacuated(replica.Zone) {
			replicas = append(replicas, replica)
		}
	}
	next.homes = map[string][]string{}
	for model, kept := range homes(replicas, shares, most) {
		for _, replica := range kept {
			next.homes[model] = append(next.homes[model], replica.ID)
		}
	}
	c.homePlans[service] = next
	return next.homes
}

// holds tells whether a plan made for the same replicas and demand still stands.
func (p *homePlan) holds(next *homePlan) bool {
	return p.plan == next.plan && p.configuration == next.configuration && slices.Equal(p.evacuated, next.evacuated) &&
		slices.Equal(p.shares, next.shares) && maps.Equal(p.most, next.most)
}
