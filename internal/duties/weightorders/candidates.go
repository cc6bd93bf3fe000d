package weightorders

import "github.com/pathtally/pathtally/internal/replicas/routing"

const (
	// minCandidates is how many replicas the items of a model are placed among at least.
	minCandidates = 256
	// candidatesPerHome is how many there are for each home of the model: a replica of
	// great weight for a model is nearly always one of its homes.
	candidatesPerHome = 2
)

// Candidates returns the replicas of a plan among which the items of a model's jobs are
// placed: all where they are few, else those of greatest weight for the model, which
// include its homes. A node that runs jobs cannot weigh thousands of replicas for each
// item.
func Candidates(plan *routing.Plan, model string, items int) []*routing.Endpoint {
	endpoints := plan.Endpoints()
	count := max(minCandidates, candidatesPerHome*homesNeeded(items, slotsOf(plan)))
	if len(endpoints) <= count {
		return endpoints
	}
	return heaviest(endpoints, func(endpoint *routing.Endpoint) string { return endpoint.Name }, model, count)
}

// slotsOf is how many slots the smallest replica of a plan has.
func slotsOf(plan *routing.Plan) int {
	if plan == nil {
		return 1
	}
	least := 0
	for _, endpoint := range plan.Endpoints() {
		if least == 0 || endpoint.Slots < least {
			least = endpoint.Slots
		}
	}
	return max(1, least)
}
