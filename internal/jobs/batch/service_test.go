package batch

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/jobs/jobstore"
	"github.com/pathtally/pathtally/internal/jobs/replicastate"
	"github.com/pathtally/pathtally/internal/replicas/directory"
	"github.com/pathtally/pathtally/internal/store/objectstore"
	"github.com/pathtally/pathtally/standin/metastore"
)

func TestJobAcceptedOnceAndReadEverywhere(t *testing.T) {
	cluster := newCluster(t, 3, startEngine(t, 4), startEngine(t, 4))
	for _, node := range cluster.nodes {
		if err := cluster.submit(node, "job", 12); err != nil {
			t.Fatal(err)
		}
	}
	first := cluster.readAll(cluster.nodes[0], "job", 12)
	checkResults(t, "job", first, 12, 4)
	for _, node := range cluster.nodes[1:] {
		again := cluster.readAll(node, "job", 12)
		for position := range first {
			if again[position].ID != first[position].ID {
				t.Errorf("position %d: %s at the first node, %s at another", position, first[position].ID, again[position].ID)
			}
		}
	}
	body, err := cluster.nodes[2].ItemBody(context.Background(), "job", "job.3")
	if err != nil || string(body) != "body of job.3" {
		t.Errorf("item body: %q, error %v", body, err)
	}
	if _, err := cluster.nodes[1].Read(context.Background(), "other", 0, 0); !errors.Is(err, jobstore.ErrNoSuchJob) {
		t.Errorf("read of an unknown job: error %v", err)
	}
}

func TestStreamBrokenInsideEventIsContinued(t *testing.T) {
	engine := startEngine(t, 5)
	engine.breakAt = 3
	cluster := newCluster(t, 1, engine)
	if err := cluster.submit(cluster.nodes[0], "job", 4); err != nil {
		t.Fatal(err)
	}
	checkResults(t, "job", cluster.readAll(cluster.nodes[0], "job", 4), 4, 5)
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	for id, afters := range engine.resumed {
		if len(afters) != 2 || afters[1] != 2 {
			t.Errorf("item %s was run from events %v, want one start and one continuation after event 2", id, afters)
		}
	}
}

func TestFailingItemIsAbandoned(t *testing.T) {
	for failures, want := range map[int]jobstore.State{2: jobstore.Succeeded, 3: jobstore.Abandoned} {
		engine := startEngine(t, 2)
		engine.fail["job.0"] = failures
		cluster := newCluster(t, 1, engine)
		if err := cluster.submit(cluster.nodes[0], "job", 2); err != nil {
			t.Fatal(err)
		}
		for _, result := range cluster.readAll(cluster.nodes[0], "job", 2) {
			wanted := jobstore.Succeeded
			if result.ID == "job.0" {
				wanted = want
			}
			if result.State != wanted {
				t.Errorf("item after %d failures: %s is %s, want %s", failures, result.ID, result.State, wanted)
			}
		}
	}
}

// Items must get more attempts, but not unlimited ones, at a replica that fails all
// items.
func TestFailingReplicaAllowsMoreAttempts(t *testing.T) {
	for failures, want := range map[int]jobstore.State{4: jobstore.Succeeded, maxFailuresFactor * 3: jobstore.Abandoned} {
		engine := startEngine(t, 2)
		for number := range 4 {
			engine.fail[fmt.Sprint("job.", number)] = failures
		}
		cluster := newCluster(t, 1, engine)
		if err := cluster.submit(cluster.nodes[0], "job", 4); err != nil {
			t.Fatal(err)
		}
		abandoned := 0
		for _, result := range cluster.readAll(cluster.nodes[0], "job", 4) {
			if result.State == jobstore.Abandoned {
				abandoned++
			}
		}
		if (want == jobstore.Abandoned) != (abandoned == 4) || (want == jobstore.Succeeded && abandoned > 0) {
			t.Errorf("after %d failures each, %d of 4 items are abandoned, want %s", failures, abandoned, want)
		}
	}
}

// A submission must succeed if its creates were applied and only the responses were lost.
func TestSubmitWithLostStoreResponses(t *testing.T) {
	cluster := newCluster(t, 1, startEngine(t, 2))
	lost := 2
	cluster.store.SetFault(func(call metastore.Call) metastore.Fault {
		if call.Verb == "create" && lost > 0 {
			lost--
			return metastore.ResponseLost
		}
		return metastore.NoFault
	})
	if err := cluster.submit(cluster.nodes[0], "job", 2); err != nil {
		t.Fatal(err)
	}
	checkResults(t, "job", cluster.readAll(cluster.nodes[0], "job", 2), 2, 2)
}

func TestSubmitWithoutStore(t *testing.T) {
	cluster := newCluster(t, 1, startEngine(t, 2))
	cluster.store.SetFault(func(metastore.Call) metastore.Fault { return metastore.Refused })
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	submitted, payload := submission("job", 2)
	err := cluster.nodes[0].Submit(ctx, &SubmitRequest{ID: "job", Route: testRoute, Host: "drafts.example", Payload: payload, Submission: submitted})
	var notAccepted *jobstore.NotAcceptedError
	var uncertain *jobstore.AcceptanceUnknownError
	if !errors.As(err, &notAccepted) && !errors.As(err, &uncertain) {
		t.Fatalf("submit without a store: error %v", err)
	}
	cluster.store.SetFault(nil)
	if _, err := cluster.store.Get(context.Background(), jobstore.KindJobs, "job", objectstore.Linearizable); !errors.Is(err, objectstore.ErrNotFound) {
		t.Errorf("the job is in the store: error %v", err)
	}
}

// A submission whose create may still be applied must be reported as uncertain, and its
// job run once the create is applied.
func TestUncertainSubmissionIsRetried(t *testing.T) {
	cluster := newCluster(t, 1, startEngine(t, 2))
	cluster.store.SetFault(func(call metastore.Call) metastore.Fault {
		if call.Kind == jobstore.KindJobs && call.Verb == "create" {
			return metastore.Deferred
		}
		return metastore.NoFault
	})
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	submitted, payload := submission("job", 2)
	err := cluster.nodes[0].Submit(ctx, &SubmitRequest{ID: "job", Route: testRoute, Host: "drafts.example", Payload: payload, Submission: submitted})
	var uncertain *jobstore.AcceptanceUnknownError
	if !errors.As(err, &uncertain) {
		t.Fatalf("submit without a response: error %v", err)
	}
	cluster.store.ApplyDeferred()
	cluster.store.SetFault(nil)
	checkResults(t, "job", cluster.readAll(cluster.nodes[0], "job", 2), 2, 2)
}

// Guards against a leak of the states of replicas and nodes that are gone.
func TestEvictRemovesGoneReplicas(t *testing.T) {
	table := directory.NewTable("node", "zone", nil, klog.Background())
	table.SetReplicas([]*directory.Replica{{ID: "listed", State: directory.ReplicaReady}}, 0)
	service := NewService(t.Context(), Config{Directory: table, Registry: prometheus.NewRegistry()})
	service.replicas.GetOrCreate("listed")
	service.replicas.GetOrCreate("gone")
	service.replicas.GetOrCreate("busy").Running = 1
	service.replicas.SlotUse["silent"] = replicastate.NodeSlotUse{ReceivedAt: time.Now().Add(-2 * replicastate.SlotUseTimeout)}
	service.replicas.SlotUse["heard"] = replicastate.NodeSlotUse{ReceivedAt: time.Now()}
	service.evict()
	for id, want := range map[string]bool{"listed": true, "busy": true, "gone": false} {
		if _, kept := service.replicas.States[id]; kept != want {
			t.Errorf("state of replica %s kept: %v", id, kept)
		}
	}
	if len(service.replicas.SlotUse) != 1 {
		t.Errorf("slot use of %d nodes is kept, want 1", len(service.replicas.SlotUse))
	}
}
