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

// market is a fake platform.
type market struct {
	mutex  sync.Mutex
	orders map[string]int
	calls  int
	token  uint64
	stale  int
	// empty are the zones that have no replicas available. mute makes the platform accept
	// orders without a response.
	empty map[string]bool
	mute  bool
}

func (m *market) Order(_ context.Context, order Order) error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.calls++
	if order.Token < m.token {
		m.stale++
	}
	m.token = max(m.token, order.Token)
	if m.empty[order.Zone] {
		return ErrNoCapacity
	}
	m.orders[order.Zone] = order.Replicas
	if m.mute {
		return lease.ErrUnanswered
	}
	return nil
}

func (m *market) held() string {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return fmt.Sprint(maps.Clone(m.orders))
}

func (m *market) setMute(mute bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.mute = mute
}

// received returns the number of orders, and the number of those with an outdated token.
func (m *market) received() (calls, stale int) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.calls, m.stale
}

// world is a store, a fake platform, and a number of open items that all nodes observe.
type world struct {
	store  *metastore.Store
	market *market
	mutex  sync.Mutex
	open   int
}

func (w *world) setOpen(open int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.open = open
}

func (w *world) work(string) (running, open int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return 0, w.open
}

// start runs a node that orders replicas of a service with 12 replicas.
func (w *world) start(ctx context.Context, name string) *Service {
	table := directory.NewTable("node", "a", nil, klog.Background())
	table.SetConfiguration(&directory.Configuration{Version: 1, Services: map[string]directory.Service{"model": {
		Name: "model", Engine: &directory.Engine{Slots: 8}, Scaling: &directory.Scaling{Least: 1, Most: 10},
	}}}, 1)
	var replicas []*directory.Replica
	for number := range 12 {
		replicas = append(replicas, &directory.Replica{
			ID: fmt.Sprint("replica-", number), Service: "model", Zone: string(rune('a' + number%3)), Slots: 8, State: directory.ReplicaReady,
		})
	}
	table.SetReplicas(replicas, 0)
	keeper := lease.NewElector(lease.Config{
		Node: name, Lease: lease.NewLease(name, name, 0, w.store, clock.Steady), Clock: clock.Steady, Logger: klog.Background(),
		Nodes: func() []string { return []string{name} }, Announce: func([]string) {}, SinceHeartbeat: func(string) time.Duration { return time.Hour },
	})
	service := NewService(Config{
		Policy: PolicyWork, Elector: keeper, Store: w.store, Platform: w.market, Directory: table, Logger: klog.Background(),
		Registry: prometheus.NewRegistry(), Work: w.work,
	})
	go service.Run(ctx)
	return service
}

func inWorld(t *testing.T, play func(ctx context.Context, w *world)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		play(ctx, &world{store: metastore.New(), market: &market{orders: map[string]int{}, empty: map[string]bool{}}})
	})
}

func TestReplicasFollowTheOpenItems(t *testing.T) {
	inWorld(t, func(ctx context.Context, w *world) {
		w.start(ctx, "node")
		time.Sleep(10 * time.Second)
		if calls, _ := w.market.received(); calls != 0 {
			t.Errorf("%d orders without work", calls)
		}
		w.setOpen(131)
		time.Sleep(5 * time.Second)
		if got := w.market.held(); got != "map[a:7 b:6 c:6]" {
			t.Errorf("ordered %s", got)
		}
		w.setOpen(0)
		time.Sleep(peakPeriod + shrinkDelay/2)
		if got := w.market.held(); got != "map[a:7 b:6 c:6]" {
			t.Errorf("given back at once: %s", got)
		}
		time.Sleep(shrinkDelay)
		if got := w.market.held(); got != "map[a:4 b:4 c:4]" {
			t.Errorf("not given back: %s", got)
		}
	})
}

// A new holder that ignores the recorded orders would take the ordered replicas for the
// baseline and order the wrong number.
func TestFurtherHolderGoesOnFromWhatWasOrdered(t *testing.T) {
	inWorld(t, func(ctx context.Context, w *world) {
		w.setOpen(131)
		first, stop := context.WithCancel(ctx)
		w.start(first, "first")
		time.Sleep(5 * time.Second)
		stop()
		current := w.market.held()
		w.start(ctx, "second")
		for range 40 {
			time.Sleep(pollInterval)
			_, stale := w.market.received()
			if got := w.market.held(); got != current || stale != 0 {
				t.Fatalf("ordered %s after %s, %d with an old token", got, current, stale)
			}
		}
		w.setOpen(180)
		time.Sleep(20 * time.Second)
		if got := w.market.held(); got != "map[a:9 b:8 c:8]" {
			t.Errorf("ordered %s", got)
		}
	})
}

func TestZoneWithNoneToGiveIsLeftAlone(t *testing.T) {
	inWorld(t, func(ctx context.Context, w *world) {
		w.market.empty["b"] = true
		w.setOpen(180)
		w.start(ctx, "node")
		time.Sleep(9500 * time.Millisecond)
		if calls, _ := w.market.received(); calls > 5 {
			t.Errorf("%d orders in 9 s", calls)
		}
		if got := w.market.held(); got != "map[a:9 c:10]" {
			t.Errorf("ordered %s", got)
		}
	})
}

// An order that was not answered may not have been accepted. It must be sent again, but not
// at every step.
func TestUnansweredOrderIsSentAgainLater(t *testing.T) {
	inWorld(t, func(ctx context.Context, w *world) {
		w.market.setMute(true)
		w.setOpen(131)
		w.start(ctx, "node")
		time.Sleep(7 * time.Second)
		if calls, _ := w.market.received(); calls != 3 {
			t.Errorf("%d orders of three zones", calls)
		}
		time.Sleep(minOrderInterval)
		w.market.setMute(false)
		time.Sleep(3 * minOrderInterval)
		if calls, _ := w.market.received(); calls != 9 {
			t.Errorf("%d orders once the third of each was answered", calls)
		}
	})
}
