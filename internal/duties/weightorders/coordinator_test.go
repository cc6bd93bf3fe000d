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

// orderedReplicas is a fake client of replicas that execute every order immediately.
type orderedReplicas struct {
	mutex    sync.Mutex
	versions map[string]int64
	orders   []LoadOrder
	last     time.Time
}

func (r *orderedReplicas) WeightStatus(_ context.Context, target Target) (WeightStatus, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return WeightStatus{Sequence: int64(len(r.orders)), Versions: map[string]int64{"m": r.versions[target.ID]}}, nil
}

func (r *orderedReplicas) OrderLoad(_ context.Context, target Target, order LoadOrder) (bool, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.orders, r.last = append(r.orders, order), time.Now()
	r.versions[target.ID] = order.Version
	return false, nil
}

// newest returns the last order and its time.
func (r *orderedReplicas) newest() (LoadOrder, time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.orders[len(r.orders)-1], r.last
}

// fleet is a set of coordinators of the same replicas.
type fleet struct {
	store        *metastore.Store
	table        *directory.Table
	replicas     *orderedReplicas
	mutex        sync.Mutex
	coordinators []*Coordinator
	stop         context.CancelFunc
}

func newFleet() *fleet {
	f := &fleet{store: metastore.New(), table: directory.NewTable("node", "zone", nil, klog.Background()), replicas: &orderedReplicas{versions: map[string]int64{}}}
	f.table.SetConfiguration(&directory.Configuration{Version: 1, Services: map[string]directory.Service{"s": {Engine: &directory.Engine{Models: []string{"m"}}}}}, 1)
	f.table.SetReplicas([]*directory.Replica{{ID: "a", Service: "s", State: directory.ReplicaReady}, {ID: "b", Service: "s", State: directory.ReplicaReady}}, 0)
	return f
}

// start runs a new process of each of some nodes.
func (f *fleet) start(ctx context.Context, nonce string, nodes ...string) {
	ctx, f.stop = context.WithCancel(ctx)
	var coordinators []*Coordinator
	for _, node := range nodes {
		var keeper *lease.Elector
		keeper = lease.NewElector(lease.Config{
			Node: node, Lease: lease.NewLease(node, nonce, lease.DefaultTakeoverGap, f.store, clock.Steady), Clock: clock.Steady, Logger: klog.Background(),
			Nodes: func() []string { return nodes }, SinceHeartbeat: func(string) time.Duration { return time.Hour }, Announce: func([]string) { f.announce(keeper) },
		})
		made := NewCoordinator(Config{
			Elector: keeper, Directory: f.table, Replicas: f.replicas, Logger: klog.Background(), Registry: prometheus.NewRegistry(),
			RunningItems: func(string) int { return 0 }, Tolerance: func(string) int64 { return 0 }, Demand: func() Demand { return Demand{} }, OnChange: f.list,
			Announce: func() { f.announce(keeper) },
		})
		coordinators = append(coordinators, made)
	}
	f.mutex.Lock()
	f.coordinators = coordinators
	f.mutex.Unlock()
	for _, coordinator := range coordinators {
		go coordinator.Run(ctx)
	}
}

// list updates a replica's entry in the directory when its version has changed.
func (f *fleet) list(change wire.ReplicaVersion) {
	if !change.Loading {
		f.table.ApplyReplicas([]directory.ReplicaChange{{Name: change.Replica, Replica: &directory.Replica{
			ID: change.Replica, Service: "s", State: directory.ReplicaReady, Versions: map[string]int64{change.Model: change.Version},
		}}}, 0)
	}
}

// announce sends a node's observation of the lease to all other nodes.
func (f *fleet) announce(from *lease.Elector) {
	seen := from.LastObserved()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, other := range f.coordinators {
		if other.config.Elector != from {
			go other.config.Elector.Observe(seen)
		}
	}
}

// When all nodes restart, the previous holder must learn that it is the holder and resume
// without the wait of a successor.
func TestHolderThatWasStartedAnewGoesOnAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
		var nodes []string
		for number := range 12 {
			nodes = append(nodes, fmt.Sprintf("node-%d", number))
		}
		// Each round stops the holder, so that the lease moves to a node with a low rank.
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
			t.Errorf("version %d was ordered by %s after %s, the holder was %s", after.Version, after.Holder, last.Sub(began), before.Holder)
		}
		f.stop()
		time.Sleep(time.Minute)
	})
}

// A successor that takes over before the holder's lease has expired would send orders at the
// same time.
func TestSuccessorWaitsForAHolderThatStaysAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet()
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
			t.Errorf("the last order is %+v after %+v", after, before)
		}
		if last.Sub(began) < lease.SendWindow+lease.DefaultTakeoverGap {
			t.Errorf("a successor gave orders %s after its start", last.Sub(began))
		}
		f.stop()
		time.Sleep(time.Minute)
	})
}
