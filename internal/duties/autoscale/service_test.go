package autoscale

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/clock"
	"github.com/pathtally/pathtally/internal/duties/lease"
	"github.com/pathtally/pathtally/internal/replicas/directory"
	"github.com/pathtally/pathtally/standin/metastore"
)

// fakePlatform implements Platform.
type fakePlatform struct {
	mutex    sync.Mutex
	orders   map[string]int
	calls    int
	token    uint64
	outdated int
	// exhausted are the zones that have no replicas available. unresponsive makes the
	// platform accept orders without a response.
	exhausted    map[string]bool
	unresponsive bool
}

func (p *fakePlatform) Order(_ context.Context, order Order) error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.calls++
	if order.Token < p.token {
		p.outdated++
	}
	p.token = max(p.token, order.Token)
	if p.exhausted[order.Zone] {
		return ErrNoCapacity
	}
	p.orders[order.Zone] = order.Replicas
	if p.unresponsive {
		return lease.ErrUnanswered
	}
	return nil
}

func (p *fakePlatform) ordered() string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return fmt.Sprint(maps.Clone(p.orders))
}

func (p *fakePlatform) setUnresponsive(unresponsive bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.unresponsive = unresponsive
}

// received returns the number of orders, and the number of those with an outdated token.
func (p *fakePlatform) received() (calls, outdated int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.calls, p.outdated
}

// testWorld is a store, a fake platform, and a number of open items that all nodes observe.
type testWorld struct {
	store     *metastore.Store
	platform  *fakePlatform
	mutex     sync.Mutex
	openItems int
}

func (w *testWorld) setOpenItems(openItems int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.openItems = openItems
}

func (w *testWorld) work(string) (running, openItems int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return 0, w.openItems
}

// testReplicas returns replicas of the service, spread evenly over three zones.
func testReplicas(count int) []*directory.Replica {
	var replicas []*directory.Replica
	for number := range count {
		replicas = append(replicas, &directory.Replica{
			ID: fmt.Sprint("replica-", number), Service: "model", Zone: string(rune('a' + number%3)), Slots: 8, State: directory.ReplicaReady,
		})
	}
	return replicas
}

// start runs a node that orders replicas of a service with 12 replicas.
func (w *testWorld) start(ctx context.Context, name string) *Service {
	table := directory.NewTable("node", "a", nil, klog.Background())
	table.SetConfiguration(&directory.Configuration{Version: 1, Services: map[string]directory.Service{"model": {
		Name: "model", Engine: &directory.Engine{Slots: 8}, Scaling: &directory.Scaling{Least: 1, Most: 10},
	}}}, 1)
	table.SetReplicas(testReplicas(12), 0)
	elector := lease.NewElector(lease.Config{
		Node: name, Lease: lease.NewLease(name, name, 0, w.store, clock.Monotonic), Clock: clock.Monotonic, Logger: klog.Background(),
		Nodes: func() []string { return []string{name} }, Announce: func([]string) {}, SinceHeartbeat: func(string) time.Duration { return time.Hour },
	})
	service := NewService(Config{
		Policy: PolicyWork, Elector: elector, Store: w.store, Platform: w.platform, Directory: table, Logger: klog.Background(),
		Registry: prometheus.NewRegistry(), Work: w.work,
	})
	go service.Run(ctx)
	return service
}

func runInTestWorld(t *testing.T, run func(ctx context.Context, w *testWorld)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		run(ctx, &testWorld{store: metastore.New(), platform: &fakePlatform{orders: map[string]int{}, exhausted: map[string]bool{}}})
	})
}

// Replicas must be ordered for open items, and given back only after they have been
// unnecessary for scaleDownDelay.
func TestReplicasFollowOpenItems(t *testing.T) {
	runInTestWorld(t, func(ctx context.Context, w *testWorld) {
		w.start(ctx, "node")
		time.Sleep(10 * time.Second)
		if calls, _ := w.platform.received(); calls != 0 {
			t.Errorf("%d orders without open items, want none", calls)
		}
		w.setOpenItems(131)
		time.Sleep(5 * time.Second)
		if got := w.platform.ordered(); got != "map[a:7 b:6 c:6]" {
			t.Errorf("ordered %s, want a slot for each open item", got)
		}
		w.setOpenItems(0)
		time.Sleep(peakPeriod + scaleDownDelay/2)
		if got := w.platform.ordered(); got != "map[a:7 b:6 c:6]" {
			t.Errorf("scaled down to %s before scaleDownDelay", got)
		}
		time.Sleep(scaleDownDelay)
		if got := w.platform.ordered(); got != "map[a:4 b:4 c:4]" {
			t.Errorf("ordered %s after scaleDownDelay, want the baseline", got)
		}
	})
}

// A new holder that ignores the recorded orders would take the ordered replicas for the
// baseline and order the wrong number.
func TestNewHolderContinuesFromOrders(t *testing.T) {
	runInTestWorld(t, func(ctx context.Context, w *testWorld) {
		w.setOpenItems(131)
		first, stop := context.WithCancel(ctx)
		w.start(first, "first")
		time.Sleep(5 * time.Second)
		stop()
		current := w.platform.ordered()
		w.start(ctx, "second")
		for range 40 {
			time.Sleep(pollInterval)
			_, outdated := w.platform.received()
			if got := w.platform.ordered(); got != current || outdated != 0 {
				t.Fatalf("new holder ordered %s, want %s unchanged; %d orders with an outdated token", got, current, outdated)
			}
		}
		w.setOpenItems(180)
		time.Sleep(20 * time.Second)
		if got := w.platform.ordered(); got != "map[a:9 b:8 c:8]" {
			t.Errorf("new holder ordered %s, want a slot for each open item", got)
		}
	})
}

// A node that counts replicas ordered by an earlier holder as its baseline would never scale
// the zones down to the number before any order.
func TestNewHolderKeepsBaseline(t *testing.T) {
	for name, startsBefore := range map[string]bool{"started before the orders": true, "started after the orders": false} {
		t.Run(name, func(t *testing.T) {
			runInTestWorld(t, func(ctx context.Context, w *testWorld) {
				first, stop := context.WithCancel(ctx)
				defer stop()
				w.start(first, "first")
				time.Sleep(pollInterval / 2)
				var second *Service
				if startsBefore {
					second = w.start(ctx, "second")
				}
				// The next step is one of the first node.
				time.Sleep(10*pollInterval + pollInterval/4)
				w.setOpenItems(131)
				time.Sleep(5 * time.Second)
				if got := w.platform.ordered(); got != "map[a:7 b:6 c:6]" {
					t.Fatalf("first holder ordered %s, want a slot for each open item", got)
				}
				if !startsBefore {
					second = w.start(ctx, "second")
				}
				second.config.Directory.SetReplicas(testReplicas(7+6+6), 0)
				time.Sleep(5 * time.Second)
				stop()
				if startsBefore {
					// It places an order before the work ends.
					w.setOpenItems(180)
					time.Sleep(20 * time.Second)
				}
				w.setOpenItems(0)
				time.Sleep(10 * time.Minute)
				if got := w.platform.ordered(); got != "map[a:4 b:4 c:4]" {
					t.Errorf("ordered %s 10 min after the work ended, want the baseline; recorded %s", got, w.store.Objects(ledgerKind)[0].Spec)
				}
			})
		})
	}
}

// A candidate that never reads the record again after the first order would not scale down the
// replicas that a former holder ordered unless it had to order more.
func TestCandidateScalesDownOrdersOfFormerHolder(t *testing.T) {
	runInTestWorld(t, func(ctx context.Context, w *testWorld) {
		first, stop := context.WithCancel(ctx)
		defer stop()
		w.start(first, "first")
		time.Sleep(pollInterval / 2)
		second := w.start(ctx, "second")
		time.Sleep(10*pollInterval + pollInterval/4)
		w.setOpenItems(131)
		time.Sleep(5 * time.Second)
		if got := w.platform.ordered(); got != "map[a:7 b:6 c:6]" {
			t.Fatalf("first holder ordered %s, want a slot for each open item", got)
		}
		second.config.Directory.SetReplicas(testReplicas(7+6+6), 0)
		stop()
		w.setOpenItems(0)
		time.Sleep(10 * time.Minute)
		if got := w.platform.ordered(); got != "map[a:4 b:4 c:4]" {
			t.Errorf("ordered %s 10 min after the work ended, want the baseline", got)
		}
	})
}

// A zone without available replicas must not be asked at every step, and other zones must
// replace it.
func TestExhaustedZoneIsNotRetriedEarly(t *testing.T) {
	runInTestWorld(t, func(ctx context.Context, w *testWorld) {
		w.platform.exhausted["b"] = true
		w.setOpenItems(180)
		w.start(ctx, "node")
		time.Sleep(9500 * time.Millisecond)
		if calls, _ := w.platform.received(); calls > 5 {
			t.Errorf("%d orders in 9.5 s, want at most 5", calls)
		}
		if got := w.platform.ordered(); got != "map[a:9 c:10]" {
			t.Errorf("ordered %s, want the replicas of the exhausted zone in the others", got)
		}
	})
}

// An order that was not answered may not have been accepted. It must be sent again, but not
// at every step.
func TestUnansweredOrderIsRetried(t *testing.T) {
	runInTestWorld(t, func(ctx context.Context, w *testWorld) {
		w.platform.setUnresponsive(true)
		w.setOpenItems(131)
		w.start(ctx, "node")
		time.Sleep(7 * time.Second)
		if calls, _ := w.platform.received(); calls != 3 {
			t.Errorf("%d orders, want one for each of 3 zones", calls)
		}
		time.Sleep(minOrderInterval)
		w.platform.setUnresponsive(false)
		time.Sleep(3 * minOrderInterval)
		if calls, _ := w.platform.received(); calls != 9 {
			t.Errorf("%d orders after the platform responds again, want 3 for each of 3 zones", calls)
		}
	})
}
