package weightorders

import (
	"fmt"
	"testing"

	"github.com/pathtally/pathtally/internal/replicas/routing"
)

// planOfIDs returns a routing plan whose endpoints are named like the replicas of
// coordinatorOf.
func planOfIDs(count int) *routing.Plan {
	endpoints := make([]*routing.Endpoint, count)
	for number := range endpoints {
		endpoints[number] = routing.NewReplicaEndpoint(fmt.Sprint("replica-", number), "", "zone", "", "s", 6, routing.NewEndpointState())
	}
	return routing.NewRankedPlan(routing.Locality{}, endpoints)
}

// Items that are placed on replicas other than homes find old weights.
func TestCandidatesHoldNearlyAllHomes(t *testing.T) {
	coordinator, table := coordinatorOf(4000, Demand{MaxItems: map[string]int{"m": 128, "n": 128}})
	candidates := map[string]bool{}
	for _, endpoint := range PlacementCandidates(planOfIDs(4000), "m", 128) {
		candidates[endpoint.Name] = true
	}
	homes, outside := 0, 0
	for _, open := range coordinator.openTasks(table.View(), coordinator.currentDemand()) {
		if open.model != "m" {
			continue
		}
		homes++
		if !candidates[open.target.ID] {
			outside++
		}
	}
	if homes == 0 || outside > homes/10 {
		t.Errorf("%d of %d homes are no candidates", outside, homes)
	}
}

// The cost of placing an item must not grow with the number of replicas.
func TestCandidatesDoNotGrowWithTheReplicas(t *testing.T) {
	few, many := len(PlacementCandidates(planOfIDs(1000), "m", 128)), len(PlacementCandidates(planOfIDs(8000), "m", 128))
	if few != many {
		t.Errorf("%d candidates of 1,000 replicas, %d of 8,000", few, many)
	}
	if all := len(PlacementCandidates(planOfIDs(100), "m", 128)); all != 100 {
		t.Errorf("%d candidates of 100 replicas", all)
	}
}
