package directory

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/replicas/routing"
	"github.com/pathtally/pathtally/standin/metastore"
)

// entryStartedAt returns the entry of a replica with the given start time in milliseconds.
func entryStartedAt(startedMs int64, state ReplicaState) map[string]any {
	return map[string]any{"Service": "s", "Address": "127.0.0.1:1", "Slots": 4, "State": state, "StartedMs": startedMs}
}

// endpointOf returns the endpoint of any incarnation of a replica, or nil.
func endpointOf(table *Table, id string) *routing.Endpoint {
	for name, endpoint := range table.View().Endpoints {
		if name == id || strings.HasPrefix(name, id+"@") {
			return endpoint
		}
	}
	return nil
}

func TestRestartedReplicaHasNewState(t *testing.T) {
	runInBubble(t, func(t *testing.T, ctx context.Context, store *metastore.Store) {
		store.Write("servers", "one", entryStartedAt(1000, ReplicaReady))
		table := newInformedTable(ctx, store)
		settle(time.Second)
		first := endpointOf(table, "one")
		first.State.Failures.Add(7)
		store.Write("servers", "one", entryStartedAt(2000, ReplicaReady))
		settle(time.Second)
		second := endpointOf(table, "one")
		if second == nil || second.State == first.State || second.State.Failures.Load() != 0 {
			t.Error("a restarted replica has the state of its previous incarnation")
		}
		store.Write("servers", "one", entryStartedAt(2000, ReplicaDraining))
		settle(time.Second)
		if endpointOf(table, "one") != nil {
			t.Error("a draining replica is used")
		}
		store.Write("servers", "one", entryStartedAt(3000, ReplicaReady))
		settle(time.Second)
		if endpointOf(table, "one") == nil {
			t.Error("a replica that drained before its restart is not used")
		}
		if len(table.View().Endpoints) > 1 {
			t.Error("the previous incarnation is also used")
		}
		store.Remove("servers", "one")
		settle(time.Second)
		if endpointOf(table, "one") != nil {
			t.Error("a replica without an entry is used")
		}
	})
}

// Guards against an entry of an earlier incarnation that arrives after one of the later.
func TestStaleEntryIgnored(t *testing.T) {
	runInBubble(t, func(t *testing.T, ctx context.Context, store *metastore.Store) {
		store.Write("servers", "one", entryStartedAt(2000, ReplicaReady))
		table := newInformedTable(ctx, store)
		settle(time.Second)
		store.Write("servers", "one", entryStartedAt(1000, ReplicaDraining))
		settle(time.Second)
		if endpointOf(table, "one") == nil {
			t.Error("a stale entry removed the replica")
		}
		store.Write("servers", "one", entryStartedAt(2000, ReplicaReady))
		settle(time.Minute)
		if endpointOf(table, "one") == nil {
			t.Error("a stale entry was applied although a current one followed")
		}
	})
}

// Guards against an entry with a start time far in the future making all entries of the
// replica count as stale forever.
func TestStartTimeInFuture(t *testing.T) {
	runInBubble(t, func(t *testing.T, ctx context.Context, store *metastore.Store) {
		store.Write("servers", "one", entryStartedAt(1<<50, ReplicaDraining))
		table := newInformedTable(ctx, store)
		settle(time.Second)
		store.Write("servers", "one", entryStartedAt(2000, ReplicaReady))
		settle(time.Minute)
		if endpointOf(table, "one") == nil {
			t.Error("the replica is not used although its entry has not been replaced")
		}
	})
}

// Guards against dropping the latest incarnation when a listing has a stale entry instead.
func TestStaleEntryInListing(t *testing.T) {
	runInBubble(t, func(t *testing.T, ctx context.Context, store *metastore.Store) {
		store.Write("servers", "one", entryStartedAt(2000, ReplicaReady))
		table := newInformedTable(ctx, store)
		settle(time.Second)
		store.Write("servers", "one", entryStartedAt(1000, ReplicaReady))
		store.CompactHistory()
		settle(2 * time.Second)
		if endpoint := endpointOf(table, "one"); endpoint == nil || endpoint.Name != IncarnationID("one", 2000) {
			t.Errorf("after the listing, endpoint %+v is used", endpoint)
		}
	})
}

// Guards against restoring a draining incarnation when a stale entry follows in the same batch
// of changes.
func TestStaleEntryAfterDrainInBatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := NewTable("node", "zone", nil, klog.Background())
		entry := func(startedMs int64, state ReplicaState) *Replica {
			return &Replica{ID: IncarnationID("one", startedMs), Name: "one", StartedMs: startedMs, Service: "s", Address: "127.0.0.1:1", State: state}
		}
		table.SetReplicas([]*Replica{entry(2000, ReplicaReady)}, 0)
		table.ApplyReplicas([]ReplicaChange{
			{Name: "one", Replica: entry(2000, ReplicaDraining)},
			{Name: "one", Replica: entry(1000, ReplicaReady)},
		}, 0)
		if endpointOf(table, "one") != nil {
			t.Error("a draining replica is used")
		}
	})
}
