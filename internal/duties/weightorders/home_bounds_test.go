package weightorders

import (
	"fmt"
	"testing"

	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/replicas/directory"
)

// coordinatorOf returns a coordinator of a number of replicas and two models, "m" and "n",
// with newly named versions.
func coordinatorOf(count int, demand Demand) (*Coordinator, *directory.Table) {
	table := directory.NewTable("node", "zone", nil, klog.Background())
	table.SetConfiguration(&directory.Configuration{Services: map[string]directory.Service{"s": {Engine: &directory.Engine{Models: []string{"m", "n"}}}}}, 1)
	var listed []*directory.Replica
	for number := range count {
		listed = append(listed, &directory.Replica{ID: fmt.Sprint("replica-", number), Service: "s", Slots: 6, State: directory.ReplicaReady})
	}
	table.SetReplicas(listed, 0)
	table.SetVersion("m", 3)
	table.SetVersion("n", 3)
	return &Coordinator{
		config:   Config{Directory: table, Tolerance: func(string) int64 { return 1 }, Demand: func() Demand { return demand }},
		versions: map[string]map[string]int64{}, homeCache: map[string]*cachedHomes{},
	}, table
}

// The number of loads per version must depend on the size of the jobs. Otherwise one node has
// to order thousands of loads in a large deployment.
func TestLoadsDependOnItemsNotReplicas(t *testing.T) {
	demand := Demand{MeanTokens: map[string]float64{"m": 100, "n": 100}, MaxItems: map[string]int{"m": 72, "n": 120}}
	want := homesNeeded(72, 6) + homesNeeded(120, 6)
	for _, count := range []int{400, 3200} {
		coordinator, _ := coordinatorOf(count, demand)
		if pending := coordinator.pendingTasks(coordinator.config.Directory.View(), coordinator.currentDemand()); len(pending) != want {
			t.Errorf("%d loads among %d replicas, want %d", len(pending), count, want)
		}
	}
}

// If the items need all replicas, or the demand is unknown, the homes of each model are its
// share of the replicas times homeShareFactor.
func TestSmallDeploymentHomes(t *testing.T) {
	for _, items := range []int{0, 72} {
		coordinator, _ := coordinatorOf(30, Demand{MaxItems: map[string]int{"m": items, "n": items}})
		if pending := coordinator.pendingTasks(coordinator.config.Directory.View(), coordinator.currentDemand()); len(pending) != 40 {
			t.Errorf("jobs of %d items: %d loads, want 40", items, len(pending))
		}
	}
}

// A new holder of the lease knows no jobs yet and must not start thousands of loads.
func TestLoadsAreBoundedWithoutDemand(t *testing.T) {
	coordinator, _ := coordinatorOf(3200, Demand{})
	if pending := coordinator.pendingTasks(coordinator.config.Directory.View(), coordinator.currentDemand()); len(pending) != 2*maxHomesUnknownDemand {
		t.Errorf("%d loads of two models, want %d", len(pending), 2*maxHomesUnknownDemand)
	}
}

// Each home that moves when replicas are added or removed costs a load.
func TestBoundedHomesAreStable(t *testing.T) {
	demand := Demand{MaxItems: map[string]int{"m": 72, "n": 72}}
	coordinator, table := coordinatorOf(400, demand)
	homesNow := func() map[string]bool {
		homes := map[string]bool{}
		for _, pending := range coordinator.pendingTasks(table.View(), coordinator.currentDemand()) {
			homes[pending.model+" "+pending.target.ID] = true
		}
		return homes
	}
	before := homesNow()
	for number := range 20 {
		table.ApplyReplicas([]directory.ReplicaChange{{Name: fmt.Sprint("replica-", number)}}, 0)
	}
	moved := 0
	for home := range homesNow() {
		if !before[home] {
			moved++
		}
	}
	if moved > 15 {
		t.Errorf("%d of %d homes are new after 5%% of the replicas were removed", moved, len(before))
	}
}

// Homes are needed several times a second and must be computed only when their inputs change.
func TestHomesAreCached(t *testing.T) {
	coordinator, table := coordinatorOf(400, Demand{MaxItems: map[string]int{"m": 72, "n": 72}})
	coordinator.pendingTasks(table.View(), coordinator.currentDemand())
	current := coordinator.homeCache["s"]
	table.SetVersion("m", 4)
	coordinator.pendingTasks(table.View(), coordinator.currentDemand())
	if coordinator.homeCache["s"] != current {
		t.Error("homes were computed again for a new version")
	}
	table.ApplyReplicas([]directory.ReplicaChange{{Name: "replica-1"}}, 0)
	coordinator.pendingTasks(table.View(), coordinator.currentDemand())
	if coordinator.homeCache["s"] == current {
		t.Error("homes were not computed again after a replica was removed")
	}
}

// BenchmarkLoadQueue measures the choice of all of 1,000 pending loads.
func BenchmarkLoadQueue(b *testing.B) {
	pending := make([]task, 1000)
	for i := range pending {
		pending[i] = task{target: Target{ID: fmt.Sprint("replica-", i)}, model: fmt.Sprint("model-", i%8), version: 3, loadedVersion: 1, homes: 125}
	}
	for b.Loop() {
		queue := newLoadQueue(pending, map[string]int{})
		for {
			if _, found := queue.next(); !found {
				break
			}
		}
	}
}
