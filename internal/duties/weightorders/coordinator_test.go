package weightorders

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/clock"
	"github.com/pathtally/pathtally/internal/duties/lease"
	"github.com/pathtally/pathtally/internal/replicas/directory"
	"github.com/pathtally/pathtally/internal/wire"
	"github.com/pathtally/pathtally/standin/metastore"
)

// fakeReplicas is a fake client of replicas that execute every order immediately.
type fakeReplicas struct {
	mutex    sync.Mutex
	versions map[string]int64
	orders   []LoadOrder
	last     time.Time
}

func (r *fakeReplicas) WeightStatus(_ context.Context, target Target) (WeightStatus, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return WeightStatus{Sequence: int64(len(r.orders)), Versions: map[string]int64{"m": r.versions[target.ID]}}, nil
}

func (r *fakeReplicas) OrderLoad(_ context.Context, target Target, order LoadOrder) (bool, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.orders, r.last = append(r.orders, order), time.Now()
	r.versions[target.ID] = order.Version
	return false, nil
}

// newest returns the last order and its time.
func (r *fakeReplicas) newest() (LoadOrder, time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.orders[len(r.orders)-1], r.last
}

// testCluster is a set of coordinators that share a store, a directory and replicas.
type testCluster struct {
	store        *metastore.Store
	table        *directory.Table
	replicas     *fakeReplicas
	mutex        sync.Mutex
	coordinators []*Coordinator
	stop         context.CancelFunc
}

func newTestCluster() *testCluster {
	f := &testCluster{store: metastore.New(), table: directory.NewTable("node", "zone", nil, klog.Background()), replicas: &fakeReplicas{versions: map[string]int64{}}}
	f.table.SetConfiguration(&directory.Configuration{Version: 1, Services: map[string]directory.Service{"s": {Engine: &directory.Engine{Models: []string{"m"}}}}}, 1)
	f.table.SetReplicas([]*directory.Replica{{ID: "a", Service: "s", State: directory.ReplicaReady}, {ID: "b", Service: "s", State: directory.ReplicaReady}}, 0)
	return f
}

// start runs a new process of each of the nodes, in place of the previous ones.
func (f *testCluster) start(ctx context.Context, nonce string, nodes ...string) {
	ctx, f.stop = context.WithCancel(ctx)
	var coordinators []*Coordinator
	for _, node := range nodes {
		var elector *lease.Elector
		elector = lease.NewElector(lease.Config{
			Node: node, Lease: lease.NewLease(node, nonce, lease.DefaultTakeoverGap, f.store, clock.Monotonic), Clock: clock.Monotonic, Logger: klog.Background(),
			Nodes: func() []string { return nodes }, SinceHeartbeat: func(string) time.Duration { return time.Hour }, Announce: func([]string) { f.announce(elector) },
		})
		created := NewCoordinator(Config{
			Elector: elector, Directory: f.table, Replicas: f.replicas, Logger: klog.Background(), Registry: prometheus.NewRegistry(),
			RunningItems: func(string) int { return 0 }, Tolerance: func(string) int64 { return 0 }, Demand: func() Demand { return Demand{} }, OnChange: f.updateDirectory,
			Announce: func() { f.announce(elector) },
		})
		coordinators = append(coordinators, created)
	}
	f.mutex.Lock()
	f.coordinators = coordinators
	f.mutex.Unlock()
	for _, coordinator := range coordinators {
		go coordinator.Run(ctx)
	}
}

// updateDirectory updates a replica's entry in the directory when its version has changed.
func (f *testCluster) updateDirectory(change wire.ReplicaVersion) {
	if !change.Loading {
		f.table.ApplyReplicas([]directory.ReplicaChange{{Name: change.Replica, Replica: &directory.Replica{
			ID: change.Replica, Service: "s", State: directory.ReplicaReady, Versions: map[string]int64{change.Model: change.Version},
		}}}, 0)
	}
}

// announce sends a node's observation of the lease to all other nodes.
func (f *testCluster) announce(from *lease.Elector) {
	observed := from.LastObserved()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, other := range f.coordinators {
		if other.config.Elector != from {
			go other.config.Elector.Observe(observed)
		}
	}
}

// When all nodes restart, the previous holder must learn that it is the holder and resume
// without the wait of a successor.
func TestRestartedHolderResumes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestCluster()
		var nodes []string
		for number := range 12 {
			nodes = append(nodes, fmt.Sprintf("node-%d", number))
		}
		// Each round leaves out the previous holder, so that the lease moves to a node far
		// down in the order of succession.
		current := slices.Clone(nodes)
		version := int64(2)
		for range 8 {
			f.table.SetVersion("m", version)
			f.start(t.Context(), fmt.Sprint("process-", version), current...)
			time.Sleep(30 * time.Second)
			f.stop()
			time.Sleep(time.Second)
			holder, _ := f.replicas.newest()
			current = slices.DeleteFunc(slices.Clone(current), func(node string) bool { return node == holder.Holder })
			version++
		}
		before, _ := f.replicas.newest()
		f.start(t.Context(), "last", nodes...)
		f.table.SetVersion("m", version)
		began := time.Now()
		time.Sleep(20 * time.Second)
		after, last := f.replicas.newest()
		if after.Version != version || after.Holder != before.Holder || last.Sub(began) > 3*time.Second {
			t.Errorf("version %d was ordered by %s after %s, want by the previous holder %s within 3 s", after.Version, after.Holder, last.Sub(began), before.Holder)
		}
		f.stop()
		time.Sleep(time.Minute)
	})
}

// A successor that takes over before the holder's lease has expired would send orders at the
// same time.
func TestSuccessorWaitsForLostHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestCluster()
		f.table.SetVersion("m", 2)
		f.start(t.Context(), "first", "one", "two", "three")
		time.Sleep(20 * time.Second)
		before, _ := f.replicas.newest()
		f.stop()
		var left []string
		for _, node := range []string{"one", "two", "three"} {
			if node != before.Holder {
				left = append(left, node)
			}
		}
		f.start(t.Context(), "second", left...)
		f.table.SetVersion("m", 3)
		began := time.Now()
		time.Sleep(20 * time.Second)
		after, last := f.replicas.newest()
		if after.Holder == before.Holder || after.Version != 3 || after.Token <= before.Token {
			t.Errorf("last order is %+v, want version 3 by another holder with a newer token than %+v", after, before)
		}
		if last.Sub(began) < lease.SendWindow+lease.DefaultTakeoverGap {
			t.Errorf("successor sent orders %s after its start, before the previous lease had expired", last.Sub(began))
		}
		f.stop()
		time.Sleep(time.Minute)
	})
}
