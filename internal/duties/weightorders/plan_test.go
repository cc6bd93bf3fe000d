package weightorders

import (
	"fmt"
	"maps"
	"testing"

	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/replicas/directory"
	"github.com/pathtally/pathtally/internal/replicas/routing"
)

func replicas(count int) []*directory.Replica {
	made := make([]*directory.Replica, count)
	for number := range made {
		made[number] = &directory.Replica{ID: fmt.Sprintf("replica-%d", number)}
	}
	return made
}

func TestHomesAreShared(t *testing.T) {
	for _, test := range []struct{ replicas, models, each int }{{8, 1, 8}, {9, 3, 4}, {2, 3, 1}, {1, 1, 1}, {600, 3, 267}, {0, 2, 0}, {5, 0, 0}} {
		models := make([]string, test.models)
		for number := range models {
			models[number] = fmt.Sprintf("model-%d", number)
		}
		all := replicas(test.replicas)
		assigned := map[string]int{}
		for model, homes := range homes(all, sharesOf(models, nil), nil) {
			if len(homes) != test.each {
				t.Errorf("%d replicas, %d models: %s has %d homes", test.replicas, test.models, model, len(homes))
			}
			for _, replica := range homes {
				assigned[replica.ID]++
			}
		}
		for id, count := range assigned {
			if test.models > 1 && count > 2 {
				t.Errorf("%d replicas, %d models: %s is a home of %d", test.replicas, test.models, id, count)
			}
		}
		if test.models > 0 && test.replicas >= test.models && len(assigned) != test.replicas {
			t.Errorf("%d replicas, %d models: only %d are homes", test.replicas, test.models, len(assigned))
		}
	}
}

// Each home that moves when a replica is removed costs a load.
func TestHomesAreStable(t *testing.T) {
	models := []string{"a", "b", "c"}
	all := replicas(9)
	before := homes(all, sharesOf(models, nil), nil)
	has := map[string]bool{}
	for model, assigned := range before {
		for _, replica := range assigned {
			has[model+replica.ID] = true
		}
	}
	added := 0
	for model, assigned := range homes(all[1:], sharesOf(models, nil), nil) {
		for _, replica := range assigned {
			if !has[model+replica.ID] {
				added++
			}
		}
	}
	if added > 5 {
		t.Errorf("%d homes are new after one replica was removed", added)
	}
}

func TestIsRequired(t *testing.T) {
	for _, test := range []struct {
		name          string
		state         modelState
		loadedVersion int64
		want          bool
	}{
		{"has the named version", modelState{namedVersion: 7}, 7, false},
		{"no tolerance, one behind", modelState{namedVersion: 7}, 6, true},
		{"within the tolerance", modelState{namedVersion: 7, tolerance: 1}, 6, false},
		{"beyond the tolerance", modelState{namedVersion: 7, tolerance: 1}, 5, true},
	} {
		if got := test.state.isRequired(test.loadedVersion); got != test.want {
			t.Errorf("%s: load required %v", test.name, got)
		}
	}
}

// A model that lags less than others must not wait until all their loads are done.
func TestModelsTakeTurns(t *testing.T) {
	pending := []task{
		{target: Target{ID: "a1"}, model: "a", version: 3, loadedVersion: 1, upToDateHomes: 2, homes: 4}, {target: Target{ID: "a2"}, model: "a", version: 3, loadedVersion: 1, upToDateHomes: 2, homes: 4},
		{target: Target{ID: "b1"}, model: "b", version: 2, loadedVersion: 1, upToDateHomes: 0, homes: 4}, {target: Target{ID: "b2"}, model: "b", version: 2, loadedVersion: 1, upToDateHomes: 0, homes: 4},
	}
	for _, test := range []struct {
		loading map[string]int
		want    string
	}{
		{map[string]int{}, "b1"},
		{map[string]int{"b": 1}, "b1"},
		{map[string]int{"b": 3}, "a1"},
	} {
		if first, _ := newLoadQueue(pending, maps.Clone(test.loading)).next(); first.target.ID != test.want {
			t.Errorf("running loads %v: %s is first, want %s", test.loading, first.target.ID, test.want)
		}
	}
}

// Models must be compared by the fraction of up-to-date homes. By their number, a model with
// many homes would lag behind.
func TestModelsWithMoreHomesLoadMore(t *testing.T) {
	pending := []task{
		{target: Target{ID: "small"}, model: "small", version: 2, loadedVersion: 1, upToDateHomes: 2, homes: 5},
		{target: Target{ID: "large"}, model: "large", version: 2, loadedVersion: 1, upToDateHomes: 4, homes: 20},
	}
	if first, _ := newLoadQueue(pending, map[string]int{}).next(); first.model != "large" {
		t.Error("model with 4 of 20 homes up to date waits for one with 2 of 5")
	}
}

// A fixed number of concurrent loads can't keep a large deployment up to date.
func TestMaxLoadsGrowWithEngines(t *testing.T) {
	for _, test := range []struct{ engines, others, want int }{{8, 3, 2}, {9, 4, 2}, {35, 9, 7}, {600, 20, 120}, {1, 0, 2}} {
		view := &directory.View{
			Configuration: &directory.Configuration{Services: map[string]directory.Service{"llm": {Engine: &directory.Engine{}}, "app": {}}},
			Plans:         map[string]*routing.Plan{"llm": planOf(test.engines), "app": planOf(test.others)},
		}
		if got := maxConcurrentLoads(countEngineReplicas(view)); got != test.want {
			t.Errorf("%d engine replicas, %d other replicas: %d concurrent loads, want %d", test.engines, test.others, got, test.want)
		}
	}
}

// planOf returns a routing plan with a number of endpoints.
func planOf(count int) *routing.Plan {
	endpoints := make([]*routing.Endpoint, count)
	for number := range endpoints {
		endpoints[number] = routing.NewReplicaEndpoint(fmt.Sprint("replica-", number), "", "zone", "", "service", 1, routing.NewEndpointState())
	}
	return routing.NewRankedPlan(routing.Locality{}, endpoints)
}

// An optional load must not delay a required one.
func TestOptionalLoadsComeLast(t *testing.T) {
	state := modelState{model: "m", namedVersion: 7, tolerance: 1}
	for i, loadedVersion := range []int64{7, 6, 5} {
		state.homes = append(state.homes, home{replica: replicas(3)[i], loadedVersion: loadedVersion})
	}
	pending := tasksOf(state)
	queue := newLoadQueue(pending, map[string]int{})
	first, _ := queue.next()
	second, _ := queue.next()
	if len(pending) != 2 || first.target.ID != "replica-2" || first.optional || second.target.ID != "replica-1" || !second.optional {
		t.Fatalf("required load is not first or optional load not second: %+v", pending)
	}
	if pending[0].upToDateHomes != 2 {
		t.Errorf("%d homes without a required load, want 2", pending[0].upToDateHomes)
	}
}

// A model whose homes are all in an evacuated zone would not be served.
func TestEvacuatedZonesHaveNoHomes(t *testing.T) {
	table := directory.NewTable("node", "a", nil, klog.Background())
	table.SetConfiguration(&directory.Configuration{Services: map[string]directory.Service{"s": {Engine: &directory.Engine{Models: []string{"m", "n"}}}}}, 1)
	table.SetReplicas([]*directory.Replica{
		{ID: "1", Service: "s", Zone: "a", State: directory.ReplicaReady}, {ID: "2", Service: "s", Zone: "b", State: directory.ReplicaReady},
	}, 0)
	table.SetVersion("m", 1)
	table.SetVersion("n", 1)
	table.SetEvacuations([]string{"b"})
	models := map[string]bool{}
	coordinator := &Coordinator{
		config:   Config{Directory: table, Tolerance: func(string) int64 { return 0 }},
		versions: map[string]map[string]int64{}, homeCache: map[string]*cachedHomes{},
	}
	for _, pending := range coordinator.pendingTasks(table.View(), Demand{}) {
		models[pending.model] = true
		if pending.target.ID != "1" {
			t.Errorf("replica %s in the evacuated zone is a home", pending.target.ID)
		}
	}
	if len(models) != 2 {
		t.Errorf("only the models %v have homes, want 2 models", models)
	}
}
