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
		kept := map[string]int{}
		for model, homes := range homes(all, sharesOf(models, nil), nil) {
			if len(homes) != test.each {
				t.Errorf("%d replicas, %d models: %s has %d", test.replicas, test.models, model, len(homes))
			}
			for _, replica := range homes {
				kept[replica.ID]++
			}
		}
		for id, count := range kept {
			if test.models > 1 && count > 2 {
				t.Errorf("%d replicas, %d models: %s keeps up with %d", test.replicas, test.models, id, count)
			}
		}
		if test.models > 0 && test.replicas >= test.models && len(kept) != test.replicas {
			t.Errorf("%d replicas, %d models: only %d keep up with any", test.replicas, test.models, len(kept))
		}
	}
}

// Each home that moves when a replica is removed costs a load.
func TestHomesStayWhenAReplicaGoes(t *testing.T) {
	models := []string{"a", "b", "c"}
	all := replicas(9)
	before := homes(all, sharesOf(models, nil), nil)
	has := map[string]bool{}
	for model, kept := range before {
		for _, replica := range kept {
			has[model+replica.ID] = true
		}
	}
	added := 0
	for model, kept := range homes(all[1:], sharesOf(models, nil), nil) {
		for _, replica := range kept {
			if !has[model+replica.ID] {
				added++
			}
		}
	}
	if added > 5 {
		t.Errorf("%d replicas have a new model to load", added)
	}
}

func TestWhichReplicasNeedAVersion(t *testing.T) {
	for _, test := range []struct {
		name  string
		known modelState
		held  int64
		want  bool
	}{
		{"has the newest", modelState{named: 7}, 7, false},
		{"jobs want the newest", modelState{named: 7}, 6, true},
		{"jobs let it be one behind", modelState{named: 7, tolerance: 1}, 6, false},
		{"it is two behind", modelState{named: 7, tolerance: 1}, 5, true},
	} {
		if got := test.known.isRequired(test.held); got != test.want {
			t.Errorf("%s: required %v", test.name, got)
		}
	}
}

// A model that lags less than others must not wait until all their loads are done.
func TestModelsTakeTurns(t *testing.T) {
	open := []task{
		{target: Target{ID: "a1"}, model: "a", version: 3, held: 1, currentHomes: 2, homes: 4}, {target: Target{ID: "a2"}, model: "a", version: 3, held: 1, currentHomes: 2, homes: 4},
		{target: Target{ID: "b1"}, model: "b", version: 2, held: 1, currentHomes: 0, homes: 4}, {target: Target{ID: "b2"}, model: "b", version: 2, held: 1, currentHomes: 0, homes: 4},
	}
	for _, test := range []struct {
		loading map[string]int
		want    string
	}{
		{map[string]int{}, "b1"},
		{map[string]int{"b": 1}, "b1"},
		{map[string]int{"b": 3}, "a1"},
	} {
		if first, _ := newLoadQueue(open, maps.Clone(test.loading)).next(); first.target.ID != test.want {
			t.Errorf("with %v loading, %s is first, want %s", test.loading, first.target.ID, test.want)
		}
	}
}

// Models must be compared by the fraction of up-to-date homes. By their number, a model with
// many homes would lag behind.
func TestModelsWithMoreReplicasLoadMore(t *testing.T) {
	open := []task{
		{target: Target{ID: "small"}, model: "small", version: 2, held: 1, currentHomes: 2, homes: 5},
		{target: Target{ID: "large"}, model: "large", version: 2, held: 1, currentHomes: 4, homes: 20},
	}
	if first, _ := newLoadQueue(open, map[string]int{}).next(); first.model != "large" {
		t.Error("the model with 4 of 20 replicas waits for the one with 2 of 5")
	}
}

// A fixed number of concurrent loads can't keep a large deployment up to date.
func TestLoadsAtOnceGrowWithTheEngines(t *testing.T) {
	for _, test := range []struct{ engines, others, want int }{{8, 3, 2}, {9, 4, 2}, {35, 9, 7}, {600, 20, 120}, {1, 0, 2}} {
		view := &directory.View{
			Configuration: &directory.Configuration{Services: map[string]directory.Service{"llm": {Engine: &directory.Engine{}}, "app": {}}},
			Plans:         map[string]*routing.Plan{"llm": planOf(test.engines), "app": planOf(test.others)},
		}
		if got := loadsAtOnce(engineReplicas(view)); got != test.want {
			t.Errorf("%d engines beside %d others: %d loads at once, want %d", test.engines, test.others, got, test.want)
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
func TestReplicasThatCanDoWithoutAVersionLoadItLast(t *testing.T) {
	known := modelState{model: "m", named: 7, tolerance: 1}
	for i, held := range []int64{7, 6, 5} {
		known.homes = append(known.homes, home{replica: replicas(3)[i], held: held})
	}
	open := tasksOf(known)
	queue := newLoadQueue(open, map[string]int{})
	first, _ := queue.next()
	second, _ := queue.next()
	if len(open) != 2 || first.target.ID != "replica-2" || first.ahead || second.target.ID != "replica-1" || !second.ahead {
		t.Fatalf("to be done: %+v", open)
	}
	if open[0].currentHomes != 2 {
		t.Errorf("%d replicas take new jobs as they are, want 2", open[0].currentHomes)
	}
}

// A model whose homes are all in an evacuated zone would not be served.
func TestModelsAreSharedAmongReplicasOutsideEvacuatedZones(t *testing.T) {
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
		versions: map[string]map[string]int64{}, homePlans: map[string]*homePlan{},
	}
	for _, open := range coordinator.openTasks(table.View(), Demand{}) {
		models[open.model] = true
		if open.target.ID != "1" {
			t.Errorf("replica %s is to be ordered", open.target.ID)
		}
	}
	if len(models) != 2 {
		t.Errorf("models that replicas are left for: %v", models)
	}
}
