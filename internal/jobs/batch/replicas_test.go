package batch

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/jobs/jobstore"
	"github.com/pathtally/pathtally/internal/jobs/placement"
	"github.com/pathtally/pathtally/internal/jobs/replicastate"
	"github.com/pathtally/pathtally/internal/replicas/directory"
	"github.com/pathtally/pathtally/internal/replicas/slowstart"
)

// Failing replicas respond at once and so have free slots, which must not attract most
// items.
func TestItemsAvoidFailingReplicas(t *testing.T) {
	service, waiting := newPlacement(3)
	now := time.Now()
	for range 4 {
		service.replicas.GetOrCreate(replicaName(0)).Failures.Observe(true, now)
	}
	waiting.failedReplicas = []string{replicaName(1)}
	pool := service.scheduler.newPool()
	counts := map[string]int{}
	for chosen := pool.pick(waiting); chosen != nil; chosen = pool.pick(waiting) {
		chosen.Load++
		counts[chosen.Name]++
	}
	if counts[replicaName(0)] != placement.FailingRuns || counts[replicaName(1)] != 0 || counts[replicaName(2)] != 6 {
		t.Errorf("items went to %v", counts)
	}
	waiting.failedReplicas = []string{replicaName(0), replicaName(1), replicaName(2)}
	if pool = service.scheduler.newPool(); pool.pick(waiting) == nil {
		t.Error("no replica for an item that failed at all of them")
	}
}

func replicaName(number int) string { return fmt.Sprintf("replica-%d", number) }

// newPlacement returns a service that knows a number of replicas, and an item to place on
// them.
func newPlacement(count int) (*Service, *item) {
	table := directory.NewTable("node", "zone", nil, klog.Background())
	var listed []*directory.Replica
	for number := range count {
		listed = append(listed, &directory.Replica{
			ID: replicaName(number), Service: "engines", Address: "127.0.0.1:1", Slots: 6, State: directory.ReplicaReady,
			Versions: map[string]int64{"m": 3},
		})
	}
	table.SetReplicas(listed, 0)
	table.SetConfiguration(&directory.Configuration{Version: 1, Routes: []directory.Route{{
		Name: "drafts", Targets: []directory.Target{{Service: "engines", Weight: 1}},
	}}}, 1)
	service := NewService(context.Background(), Config{Directory: table, Registry: prometheus.NewRegistry()})
	waiting := &item{job: &job{record: jobstore.Record{Route: "drafts"}, submission: &Submission{Model: "m", MinVersion: 3}}}
	return service, waiting
}

func TestPickUntilReplicasAreFull(t *testing.T) {
	service, waiting := newPlacement(5)
	service.replicas.SlotUse["other"] = replicastate.NodeSlotUse{ReceivedAt: time.Now(), Running: map[string]int{"replica-0": 6, "replica-1": 2}}
	service.replicas.GetOrCreate("replica-2").Block(time.Minute)
	service.replicas.GetOrCreate("replica-3").Versions["m"] = 4
	service.replicas.GetOrCreate("replica-4").LoadingSince["m"] = time.Now()
	pool := service.scheduler.newPool()
	placed := map[string]int{}
	for chosen := pool.pick(waiting); chosen != nil; chosen = pool.pick(waiting) {
		chosen.Load++
		placed[chosen.Name]++
	}
	if placed["replica-1"] != 4 || placed["replica-3"] != 6 || len(placed) != 2 {
		t.Errorf("items went to %v", placed)
	}
	waiting.job.submission.MinVersion = 4
	if chosen := service.scheduler.newPool().pick(waiting); chosen == nil || chosen.Name != "replica-3" {
		t.Error("item not placed at the only replica with new enough weights")
	}
}

// A replica in slow start must get no items while no node grants permits for it.
func TestPickAvoidsReplicaInSlowStart(t *testing.T) {
	service, waiting := newPlacement(2)
	client := slowstart.NewClient(slowstart.ClientConfig{Clock: time.Now, Logger: klog.Background(), Registry: prometheus.NewRegistry()})
	isListed := func(string) bool { return true }
	gate := &service.config.Directory.View().Endpoints[replicaName(0)].State.SlowStart
	client.SetWarming([]slowstart.WarmingReplica{{Replica: replicaName(0), Gate: gate, Until: time.Now().Add(time.Hour)}}, isListed)
	service.replicas.GetOrCreate(replicaName(0)).LoadingSince["m"] = time.Now()
	pickAll(service, waiting)
	if gate.HasDemand() {
		t.Error("a permit is requested for a replica that loads weights")
	}
	service.replicas.GetOrCreate(replicaName(0)).LoadingSince = map[string]time.Time{}
	if picked := pickAll(service, waiting); !gate.HasDemand() || picked[replicaName(0)] != 0 || picked[replicaName(1)] != 6 {
		t.Errorf("items went to %v", picked)
	}
	client.SetWarming(nil, isListed)
	if picked := pickAll(service, waiting); picked[replicaName(0)] != 6 {
		t.Errorf("items went to %v after slow start", picked)
	}
}

// pickAll places items until all replicas are full, and counts those at each.
func pickAll(service *Service, waiting *item) map[string]int {
	pool := service.scheduler.newPool()
	picked := map[string]int{}
	for chosen := pool.pick(waiting); chosen != nil; chosen = pool.pick(waiting) {
		chosen.Load++
		picked[chosen.Name]++
	}
	return picked
}

func TestPickPrefersReplicasInUse(t *testing.T) {
	service, waiting := newPlacement(2)
	service.replicas.GetOrCreate("replica-1").ObservedAt = time.Now()
	pool := service.scheduler.newPool()
	order := ""
	for range 5 {
		chosen := pool.pick(waiting)
		chosen.Load++
		order += chosen.Name[len("replica-"):]
	}
	if order[:2] != "11" || !strings.Contains(order, "0") {
		t.Errorf("items went to %s", order)
	}
}

func BenchmarkPick200ItemsOf3000Replicas(b *testing.B) {
	service, waiting := newPlacement(3000)
	for b.Loop() {
		pool := service.scheduler.newPool()
		for range 200 {
			pool.pick(waiting).Load++
		}
	}
}

func TestSortQueueByPriority(t *testing.T) {
	table := directory.NewTable("node", "zone", nil, klog.Background())
	table.SetConfiguration(&directory.Configuration{Version: 1, Routes: []directory.Route{{Name: "later", Priority: 1}, {Name: "first"}}}, 1)
	service := NewService(context.Background(), Config{Directory: table, Registry: prometheus.NewRegistry()})
	const ageStep = 2 * time.Second
	now := time.Now()
	waiting := func(id, route string, accepted time.Time, rank int) *item {
		return &item{Item: &Item{ID: id}, rank: placement.Rank{Position: rank}, job: &job{record: jobstore.Record{Route: route}, submission: &Submission{}, startedAt: accepted}}
	}
	service.scheduler.queue = []*item{
		waiting("a", "later", now.Add(-10*ageStep), 0), waiting("b", "first", now, 1), waiting("c", "first", now, 0), waiting("d", "first", now.Add(-2*ageStep), 2),
	}
	service.scheduler.sortQueue()
	order := ""
	for _, queued := range service.scheduler.queue {
		order += queued.ID
	}
	if order != "dcba" {
		t.Errorf("queue order %s, want dcba", order)
	}
}

// Replicas may disappear from the directory without announcing it: their runs must
// finish, and no new ones start there.
func TestRunsFinishAtUnlistedReplica(t *testing.T) {
	engine := newHoldingEngine(t)
	cluster := newCluster(t, 1, engine)
	node := cluster.nodes[0]
	if err := cluster.submit(node, "job", 4); err != nil {
		t.Fatal(err)
	}
	eventually(t, "all items are running", func() bool {
		engine.mutex.Lock()
		defer engine.mutex.Unlock()
		return len(engine.runs) == 4
	})
	node.config.Directory.SetReplicas(nil, 0)
	node.mutex.Lock()
	for running := range node.scheduler.runs {
		running.lastEvent.Store(int64(time.Since(running.startedAt)))
	}
	node.mutex.Unlock()
	node.scheduler.scanRuns()
	if err := cluster.submit(node, "later", 2); err != nil {
		t.Fatal(err)
	}
	engine.release()
	checkResults(t, "job", cluster.readAll(node, "job", 4), 4, 3)
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	for item, runs := range engine.runs {
		if runs != 1 {
			t.Errorf("%s was run %d times", item, runs)
		}
	}
	if len(engine.runs) != 4 {
		t.Errorf("%d items were run, want only the 4 of the first job", len(engine.runs))
	}
}
