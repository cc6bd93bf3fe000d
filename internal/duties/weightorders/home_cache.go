package weightorders

import (
	"maps"
	"slices"

	"github.com/pathtally/pathtally/internal/replicas/directory"
	"github.com/pathtally/pathtally/internal/replicas/routing"
)

// cachedHomes are the homes of a service's models and the inputs that they were computed
// from. The coordinator reads them several times a second, while the inputs change rarely.
type cachedHomes struct {
	// routingPlan is replaced when replicas are added or removed.
	routingPlan   *routing.Plan
	configuration *directory.Configuration
	// evacuated lists the evacuated zones.
	evacuated []string
	shares    []share
	// maxHomes is the maximum number of homes, by model.
	maxHomes map[string]int
	// speeds is nil if homes do not depend on speeds.
	speeds *speeds
	// homes are the replica ids of the homes, by model.
	homes map[string][]string
}

// homeIDs returns the replica ids of the homes of each model of a service. Replicas in
// evacuated zones are not homes.
func (c *Coordinator) homeIDs(view *directory.View, service string, shares []share, maxHomes map[string]int) map[string][]string {
	next := &cachedHomes{
		routingPlan: view.Plans[service], configuration: view.Configuration,
		evacuated: slices.Sorted(maps.Keys(view.Evacuated)), shares: shares, maxHomes: maxHomes,
	}
	// Items are placed among minCandidates replicas that are chosen by rendezvous weight
	// alone, so that homes among more must be chosen in the same way.
	if plan := view.Plans[service]; plan != nil && len(plan.Endpoints()) <= minCandidates {
		next.speeds = c.speeds.current[service]
	}
	if current := c.homeCache[service]; current != nil && current.sameInputs(next) {
		return current.homes
	}
	var replicas []*directory.Replica
	for _, replica := range view.Replicas {
		if replica.Service == service && !view.IsEvacuated(replica.Zone) {
			replicas = append(replicas, replica)
		}
	}
	next.homes = map[string][]string{}
	for model, assigned := range homesFor(replicas, shares, maxHomes, next.speeds) {
		for _, replica := range assigned {
			next.homes[model] = append(next.homes[model], replica.ID)
		}
	}
	c.homeCache[service] = next
	return next.homes
}

// sameInputs reports whether both were computed from the same inputs.
func (h *cachedHomes) sameInputs(next *cachedHomes) bool {
	return h.routingPlan == next.routingPlan && h.configuration == next.configuration && slices.Equal(h.evacuated, next.evacuated) &&
		slices.Equal(h.shares, next.shares) && maps.Equal(h.maxHomes, next.maxHomes) && h.speeds.equal(next.speeds)
}

// homesFor assigns to each model its homes, by speed if speeds are known.
func homesFor(replicas []*directory.Replica, shares []share, maxHomes map[string]int, known *speeds) map[string][]*directory.Replica {
	if known == nil || len(shares) == 0 {
		return homes(replicas, shares, maxHomes)
	}
	return homesBySpeed(replicas, shares, maxHomes, known)
}
