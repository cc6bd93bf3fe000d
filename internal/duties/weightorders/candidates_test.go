package weightorders

import (
	"fmt"
	"testing"

	"github.com/pathtally/pathtally/internal/replicas/routing"
)

// planNamedLikeReplicas returns a routing plan whose endpoints are named like the replicas of
// coordinatorOf.
func planNamedLikeReplicas(count int) *routing.Plan {
	endpoints := make([]*routing.Endpoint, count)
	for number := range endpoints {
		endpoints[number] = routing.NewReplicaEndpoint(fmt.Sprint("replica-", number), "", "zone", "", "s", 6, routing.NewEndpointState())
	}
	return routing.NewRankedPlan(routing.Locality{}, endpoints)
}

// Items that are placed on replicas other than homes find old weights.
func TestCandidatesIncludeMostHomes(t *testing.T) {
	coordinator, table := coordinatorOf(4000, Demand{MaxItems: map[string]int{"m": 128, "n": 128}})
	candidates := map[string]bool{}
	for _, endpoint := range PlacementCandidates(planNamedLikeReplicas(4000), "m", 128) {
		candidates[endpoint.Name] = true
	}
	homes, outside := 0, 0
	for _, pending := range coordinator.pendingTasks(table.View(), coordinator.currentDemand()) {
		if pending.model != "m" {
			continue
		}
		homes++
		if !candidates[pending.target.ID] {
			outside++
		}
	}
	if homes == 0 || outside > homes/10 {
		t.Errorf("%d of %d homes are not candidates, want at most 10%%", outside, homes)
	}
}

// The cost of placing an item must not grow with the number of replicas.
func TestCandidatesAreBounded(t *testing.T) {
	small, large := len(PlacementCandidates(planNamedLikeReplicas(1000), "m", 128)), len(PlacementCandidates(planNamedLikeReplicas(8000), "m", 128))
	if small != large {
		t.Errorf("%d candidates among 1,000 replicas, %d among 8,000, want the same number", small, large)
	}
	if all := len(PlacementCandidates(planNamedLikeReplicas(100), "m", 128)); all != 100 {
		t.Errorf("%d candidates among 100 replicas, want all", all)
	}
}
