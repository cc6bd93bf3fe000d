package directory

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/store/objectstore"
	"github.com/pathtally/pathtally/internal/store/watchcache"
	"github.com/pathtally/pathtally/standin/metastore"
)

// jsonDecoder decodes JSON into the types of this package.
type jsonDecoder struct{}

func (jsonDecoder) Configuration(spec []byte) (*Configuration, error) {
	configuration := &Configuration{}
	err := json.Unmarshal(spec, configuration)
	return configuration, err
}

func (jsonDecoder) Replica(name string, spec []byte) (*Replica, error) {
	replica := &Replica{}
	err := json.Unmarshal(spec, replica)
	replica.ID = name
	return replica, err
}

func (jsonDecoder) Version(spec []byte) (string, int64, error) {
	var named struct {
		Model   string
		Version int64
	}
	err := json.Unmarshal(spec, &named)
	return named.Model, named.Version, err
}

const keepMissing = 1300 * time.Millisecond

// newInformedTable returns a table that is updated by informers. They run until the context
// ends.
func newInformedTable(ctx context.Context, store *metastore.Store) *Table {
	table := NewTable("node", "zone", nil, klog.Background())
	sinks := map[string]watchcache.Sink{
		"config":      ConfigurationSink{Table: table, Decoder: jsonDecoder{}, Name: "main"},
		"servers":     ReplicaSink{Table: table, Decoder: jsonDecoder{}, KeepMissing: func() time.Duration { return keepMissing }},
		"versions":    VersionSink{Table: table, Decoder: jsonDecoder{}},
		"evacuations": EvacuationSink{Table: table},
	}
	for kind, sink := range sinks {
		go watchcache.NewInformer(store, kind, sink, klog.Background()).Run(ctx)
	}
	return table
}

func ready(service string) *Replica {
	return &Replica{Service: service, Address: "127.0.0.1:1", Slots: 4, State: ReplicaReady}
}

// runInBubble runs a test in a synctest bubble with an empty store, and cancels the
// context at its end.
func runInBubble(t *testing.T, test func(t *testing.T, ctx context.Context, store *metastore.Store)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		test(t, ctx, metastore.New())
	})
}

func settle(span time.Duration) {
	time.Sleep(span)
	synctest.Wait()
}

// simulateOutage makes the store unresponsive for a second, then waits for another second.
func simulateOutage(store *metastore.Store) {
	store.SetFault(func(metastore.Call) metastore.Fault { return metastore.Dropped })
	store.Write("config", "other", struct{}{})
	settle(time.Second)
	store.SetFault(nil)
	settle(time.Second)
}

func TestDrainingReplicaStaysExcluded(t *testing.T) {
	runInBubble(t, func(t *testing.T, ctx context.Context, store *metastore.Store) {
		store.Write("servers", "one", ready("s"))
		table := newInformedTable(ctx, store)
		settle(time.Second)
		if table.View().Plans["s"] == nil {
			t.Fatal("a listed replica has no plan")
		}
		draining := ready("s")
		draining.State = ReplicaDraining
		store.Write("servers", "one", draining)
		settle(time.Second)
		store.Write("servers", "one", ready("s"))
		settle(time.Second)
		if table.View().Replicas["one"] != nil {
			t.Error("a draining replica is used again")
		}
	})
}

func TestRemovedEntryMayReturn(t *testing.T) {
	runInBubble(t, func(t *testing.T, ctx context.Context, store *metastore.Store) {
		store.Write("servers", "one", ready("s"))
		table := newInformedTable(ctx, store)
		settle(time.Second)
		store.Remove("servers", "one")
		settle(time.Second)
		if table.View().Replicas["one"] != nil {
			t.Error("a replica is used after its entry was removed")
		}
		store.Write("servers", "one", ready("s"))
		settle(time.Second)
		if table.View().Replicas["one"] == nil {
			t.Error("a replica is not used after its entry was added again")
		}
	})
}

// Guards against keeping a replica that stopped during an outage for longer than it may get
// requests.
func TestMissingEntryKeptAfterOutage(t *testing.T) {
	runInBubble(t, func(t *testing.T, ctx context.Context, store *metastore.Store) {
		store.Write("servers", "one", ready("s"))
		table := newInformedTable(ctx, store)
		settle(time.Second)
		simulateOutage(store)
		store.Remove("servers", "one")
		settle(keepMissing / 2)
		if table.View().Replicas["one"] == nil {
			t.Error("a replica with a missing entry is dropped right after an outage")
		}
		settle(keepMissing)
		if table.View().Replicas["one"] != nil {
			t.Error("a replica with a missing entry is kept for too long")
		}
	})
}

func TestConfigurationVersionNeverDecreases(t *testing.T) {
	runInBubble(t, func(t *testing.T, ctx context.Context, store *metastore.Store) {
		table := newInformedTable(ctx, store)
		for _, version := range []uint64{3, 7, 5} {
			store.Write("config", "main", &Configuration{Version: version})
			settle(time.Second)
		}
		if version := table.View().Configuration.Version; version != 7 {
			t.Errorf("version %d is active, want 7", version)
		}
	})
}

func TestRelistAfterCompaction(t *testing.T) {
	runInBubble(t, func(t *testing.T, ctx context.Context, store *metastore.Store) {
		store.Write("servers", "one", ready("s"))
		table := newInformedTable(ctx, store)
		settle(time.Second)
		store.SetFault(func(metastore.Call) metastore.Fault { return metastore.Dropped })
		store.Write("servers", "one", ready("s2"))
		settle(time.Second)
		store.Write("servers", "two", ready("s"))
		store.Write("versions", "m", struct {
			Model   string
			Version int64
		}{"m", 4})
		store.CompactHistory()
		store.SetFault(nil)
		settle(3 * time.Second)
		view := table.View()
		if view.Replicas["two"] == nil || view.NamedVersions["m"] != 4 {
			t.Errorf("after the compaction: replica %v, named version %d", view.Replicas["two"], view.NamedVersions["m"])
		}
	})
}

func TestLookupLongestPrefix(t *testing.T) {
	configuration := &Configuration{Routes: []Route{
		{Name: "short", Host: "a.example", Prefix: "/x/"}, {Name: "long", Host: "a.example", Prefix: "/x/y/"}, {Name: "other", Host: "b.example", Prefix: "/"},
	}}
	configuration.Index()
	for _, test := range []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "long"}, {"A.example:80", "/x/z", "short"}, {"a.example", "/x/y", "short"},
		{"a.example", "/z", ""}, {"b.example", "/z", "other"}, {"c.example", "/x/", ""},
	} {
		found := ""
		if route := configuration.Lookup(test.host, test.path); route != nil {
			found = route.Name
		}
		if found != test.want {
			t.Errorf("%s%s: route %q, want %q", test.host, test.path, found, test.want)
		}
	}
}

// unresponsiveStore is a store that does not respond to watches of a kind that start while
// unresponsive is set.
type unresponsiveStore struct {
	*metastore.Store
	kind         string
	unresponsive atomic.Bool
}

func (s *unresponsiveStore) Watch(ctx context.Context, kind string, from uint64, wait time.Duration) (objectstore.Changes, error) {
	if kind == s.kind && s.unresponsive.Load() {
		objectstore.Sleep(ctx, wait)
		return objectstore.Changes{}, &objectstore.UnansweredError{Cause: metastore.ErrFault}
	}
	return s.Store.Watch(ctx, kind, from, wait)
}

// Guards against waiting for the timeout of a watch whose response was lost in an outage,
// while a draining replica still gets requests.
func TestWatchRestartedAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		store := &unresponsiveStore{Store: metastore.New(), kind: "servers"}
		store.Write("servers", "one", ready("s"))
		store.unresponsive.Store(true)
		table := NewTable("node", "zone", nil, klog.Background())
		recovered := make(chan struct{})
		informer := watchcache.NewInformer(store, "servers", ReplicaSink{Table: table, Decoder: jsonDecoder{}, KeepMissing: func() time.Duration { return keepMissing }}, klog.Background())
		informer.Recovered = func() <-chan struct{} { return recovered }
		go informer.Run(ctx)
		settle(time.Second)
		store.unresponsive.Store(false)
		close(recovered)
		recovered = make(chan struct{})
		draining := ready("s")
		draining.State = ReplicaDraining
		store.Write("servers", "one", draining)
		settle(time.Second)
		if table.View().Replicas["one"] != nil {
			t.Error("a draining replica is still used because the old watch was not restarted")
		}
	})
}

// Guards against a memory leak of ids of drained replicas.
func TestDrainingReplicasExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := NewTable("node", "zone", nil, klog.Background())
		draining := ready("s")
		draining.ID, draining.State = "one", ReplicaDraining
		table.ApplyReplicas([]ReplicaChange{{Name: "one", Replica: draining}}, 0)
		time.Sleep(drainingRetention / 2)
		table.ApplyReplicas([]ReplicaChange{{Name: "one", Replica: draining}}, 0)
		time.Sleep(drainingRetention * 3 / 4)
		table.SetReplicas(nil, 0)
		if !table.entries.isDraining("one") {
			t.Error("a recently listed draining replica was removed")
		}
		time.Sleep(drainingRetention)
		table.SetReplicas(nil, 0)
		if table.entries.isDraining("one") {
			t.Error("a draining replica was not removed after the retention time")
		}
	})
}

// Guards against rebuilding plans for changes that they do not depend on, which is expensive
// with thousands of replicas.
func TestPlansReusedIfUnaffected(t *testing.T) {
	table := NewTable("node", "zone", nil, klog.Background())
	replica := func(id, service, address string, version int64) ReplicaChange {
		return ReplicaChange{Name: id, Replica: &Replica{
			ID: id, Service: service, Address: address, Slots: 4, State: ReplicaReady, Versions: map[string]int64{"m": version},
		}}
	}
	table.ApplyReplicas([]ReplicaChange{replica("a", "s", "1", 1), replica("b", "s", "2", 1), replica("c", "other", "3", 1)}, 0)
	before := table.View()
	table.ApplyReplicas([]ReplicaChange{replica("a", "s", "1", 2)}, 0)
	after := table.View()
	if after.Plans["s"] != before.Plans["s"] || after.Replicas["a"].Versions["m"] != 2 {
		t.Errorf("a new weight version changed the plan, or was not applied: %v", after.Replicas["a"].Versions)
	}
	table.ApplyReplicas([]ReplicaChange{replica("a", "s", "9", 2), {Name: "b"}}, 0)
	moved := table.View()
	if moved.Plans["other"] != before.Plans["other"] {
		t.Error("the plan of an unaffected service was rebuilt")
	}
	if endpoints := moved.Plans["s"].Endpoints(); len(endpoints) != 1 || endpoints[0].Address != "9" {
		t.Errorf("the plan has %d endpoints after an address change and a removal, want 1 with address 9", len(endpoints))
	}
	table.ApplyReplicas([]ReplicaChange{replica("a", "other", "9", 2)}, 0)
	if table.View().Plans["s"] != nil || len(table.View().Plans["other"].Endpoints()) != 2 {
		t.Error("a replica that changed its service is not in the plan of the new service only")
	}
}
