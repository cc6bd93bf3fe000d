package weightorders

import "github.com/pathtally/pathtally/internal/replicas/routing"

const (
	// minCandidates is the minimum number of candidates of a model, if there are as many
	// replicas.
	minCandidates = 256
	// candidatesPerHome is the number of candidates as a multiple of the number of homes that
	// the model needs. With it, the candidates include nearly all homes.
	candidatesPerHome = 2
)

// PlacementCandidates returns the replicas of a plan among which the items of a model's jobs
// are placed: all of them if they are few, else those with the highest rendezvous weights
// for the model, which include nearly all of its homes. This bounds the cost of placing an
// item in deployments with thousands of replicas.
func PlacementCandidates(plan *routing.Plan, model string, items int) []*routing.Endpoint {
	endpoints := plan.Endpoints()
	count := max(minCandidates, candidatesPerHome*homesNeeded(items, minSlots(plan)))
	if len(endpoints) <= count {
		return endpoints
	}
	return highestWeighted(endpoints, func(endpoint *routing.Endpoint) string { return endpoint.Name }, model, count)
}

// minSlots returns the number of slots of the smallest replica of a plan, at least 1.
func minSlots(plan *routing.Plan) int {
	if plan == nil {
		return 1
	}
	smallest := 0
	for _, endpoint := range plan.Endpoints() {
		if smallest == 0 || endpoint.Slots < smallest {
			smallest = endpoint.Slots
		}
	}
	return max(1, smallest)
}
