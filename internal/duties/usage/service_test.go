package usage

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/clock"
	"github.com/pathtally/pathtally/internal/duties/lease"
	"github.com/pathtally/pathtally/internal/wire"
	"github.com/pathtally/pathtally/standin/metastore"
)

const (
	testWindow = 5 * time.Second
	testLate   = 10 * time.Second
)

// received is a report that the platform has accepted, with the delay since the end of its
// window.
type received struct {
	Report
	late time.Duration
}

// billing is a fake platform. It checks that tokens never decrease and that reports of a
// window never differ.
type billing struct {
	t       *testing.T
	mutex   sync.Mutex
	reports map[int64]received
	token   uint64
	// away is the time until which the platform does not respond, though it accepts
	// reports.
	away time.Time
}

func (b *billing) Report(_ context.Context, report Report) error {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if report.Token < b.token {
		b.t.Errorf("token %d of %s after %d", report.Token, report.Holder, b.token)
	}
	b.token = report.Token
	current, known := b.reports[report.Window]
	if known && !maps.Equal(current.Counts, report.Counts) {
		b.t.Errorf("window %d is reported as %v and as %v", report.Window, current.Counts, report.Counts)
	}
	if !known {
		late := time.Duration(time.Now().UnixNano()) - time.Duration(report.Window+1)*testWindow
		b.reports[report.Window] = received{Report: report, late: late}
	}
	if time.Now().Before(b.away) {
		return lease.ErrUnanswered
	}
	return nil
}

// net connects the nodes of a test.
type net struct {
	mutex sync.Mutex
	nodes map[string]*testNode
	// lost is the percentage of lost messages.
	lost   int
	random *rand.Rand
}

func (n *net) get(name string) *testNode {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.random.IntN(100) < n.lost {
		return nil
	}
	return n.nodes[name]
}

// testNode is one process of a node.
type testNode struct {
	name        string
	incarnation uint64
	net         *net
	service     *Service
	keeper      *lease.Elector
	heartbeats  sync.Map
	stop        context.CancelFunc
}

// Send implements environment.Peers. The service sends no one-way messages.
func (*testNode) Send(string, wire.Message) {}

// Broadcast implements environment.Peers.
func (*testNode) Broadcast([]string, wire.Message) {}

// Call implements environment.Peers.
func (n *testNode) Call(address string, message wire.Message, timeout time.Duration, done func(wire.Message, error)) {
	go func() {
		time.Sleep(2 * time.Millisecond)
		to := n.net.get(address)
		if to == nil {
			time.Sleep(timeout)
			done(nil, merry.New("no answer"))
			return
		}
		done(to.service.ReceivePush(message.(*wire.UsagePush)), nil)
	}()
}

// announce sends a node's heartbeat to all other nodes.
func (n *testNode) announce() {
	beat := &wire.NodeBeat{}
	n.service.FillHeartbeat(beat)
	seen := n.keeper.LastObserved()
	for name := range n.net.copies() {
		if other := n.net.get(name); other != nil && other != n {
			go func() {
				other.heartbeats.Store(n.name, time.Now())
				other.keeper.Observe(seen)
				other.service.ReceiveHeartbeat(beat)
			}()
		}
	}
}

func (n *net) copies() map[string]*testNode {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return maps.Clone(n.nodes)
}

// start runs a new process of a node.
func (n *net) start(ctx context.Context, name string, incarnation uint64, names []string, store *metastore.Store, platform Platform) *testNode {
	ctx, stop := context.WithCancel(ctx)
	node := &testNode{name: name, incarnation: incarnation, net: n, stop: stop}
	node.keeper = lease.NewElector(lease.Config{
		Node: name, Lease: lease.NewLease(name, fmt.Sprint(incarnation), 0, store, clock.Steady), Clock: clock.Steady, Logger: klog.Background(),
		Nodes: func() []string { return names }, Announce: func([]string) { node.announce() },
		SinceHeartbeat: func(other string) time.Duration {
			at, _ := node.heartbeats.Load(other)
			heard, _ := at.(time.Time)
			return time.Since(heard)
		},
	})
	node.service = NewService(Config{
		Node: name, Incarnation: incarnation, Window: testWindow, ReportDeadline: testLate, Elector: node.keeper, Store: store, Platform: platform,
		Peers: node, Logger: klog.Background(), Registry: prometheus.NewRegistry(), Nodes: func() []string { return names },
		Peer: func(other string) (string, uint64, bool) {
			current := n.copies()[other]
			if current == nil {
				return other, 0, true
			}
			return other, current.incarnation, true
		},
		HeartbeatSoon: func() { node.announce() },
	})
	n.mutex.Lock()
	n.nodes[name] = node
	n.mutex.Unlock()
	go node.service.Run(ctx)
	return node
}

// kill ends a process immediately.
func (n *net) kill(node *testNode) {
	n.mutex.Lock()
	delete(n.nodes, node.name)
	n.mutex.Unlock()
	node.stop()
}

// day is a test run of some nodes that serve requests of several tenants.
type day struct {
	t       *testing.T
	ctx     context.Context
	net     *net
	store   *metastore.Store
	billing *billing
	names   []string
	// truth is the true number of requests, by window.
	truth map[int64]Counts
}

func newDay(t *testing.T, nodes int, lost int) *day {
	d := &day{
		t: t, ctx: t.Context(), store: metastore.New(), billing: &billing{t: t, reports: map[int64]received{}},
		net: &net{nodes: map[string]*testNode{}, lost: lost, random: rand.New(rand.NewPCG(3, 4))}, truth: map[int64]Counts{},
	}
	for number := range nodes {
		d.names = append(d.names, fmt.Sprint("node-", number))
	}
	for _, name := range d.names {
		d.net.start(d.ctx, name, 1, d.names, d.store, d.billing)
	}
	return d
}

// serve makes a running node begin a request every 20 ms, for a time. The nodes take turns.
func (d *day) serve(span time.Duration) {
	for number, end := 0, time.Now().Add(span); time.Now().Before(end); number++ {
		time.Sleep(20 * time.Millisecond)
		node := d.net.copies()[d.names[number%len(d.names)]]
		if node == nil {
			continue
		}
		now := time.Now()
		tenant := fmt.Sprint("tenant-", number%3)
		node.service.CountRequest(tenant, now)
		window := int64(time.Duration(now.UnixNano()) / testWindow)
		if d.truth[window] == nil {
			d.truth[window] = Counts{}
		}
		d.truth[window][tenant]++
	}
}

// judge compares the reports with the truth, without the first and the last two windows. It
// returns the number of windows, and how many were missed: not reported in time, or with a
// relative error above the tolerance.
func (d *day) judge(tolerance float64) (windows, missed int) {
	d.billing.mutex.Lock()
	defer d.billing.mutex.Unlock()
	first, last := int64(1<<62), int64(0)
	for window := range d.truth {
		first, last = min(first, window), max(last, window)
	}
	for window := first + 1; window < last-1; window++ {
		windows++
		report, known := d.billing.reports[window]
		off := 0.0
		for tenant, count := range d.truth[window] {
			off += max(float64(count)-float64(report.Counts[tenant]), float64(report.Counts[tenant])-float64(count))
		}
		if !known || report.late > testLate || off > tolerance*float64(d.truth[window].total()) {
			d.t.Logf("window %d: %v (late %s), truth %v", window, report.Counts, report.late, d.truth[window])
			missed++
		}
	}
	return windows, missed
}

func (d *day) holder() *testNode {
	for _, node := range d.net.copies() {
		if node.keeper.TenureToken() != 0 {
			return node
		}
	}
	d.t.Fatal("nobody holds the lease")
	return nil
}

func (d *day) end() {
	time.Sleep(30 * time.Second)
	for _, node := range d.net.copies() {
		d.net.kill(node)
	}
	time.Sleep(time.Minute)
}

// expectAllReported ends the run and checks that no window was missed, and that there were
// enough windows.
func (d *day) expectAllReported(tolerance float64, least int) {
	d.t.Helper()
	d.end()
	if windows, missed := d.judge(tolerance); missed > 0 || windows < least {
		d.t.Errorf("%d of %d windows missed, want none of %d or more", missed, windows, least)
	}
}

func TestEveryWindowIsReportedOnce(t *testing.T) {
	for lost, tolerance := range map[int]float64{0: 0, 10: 0.05} {
		synctest.Test(t, func(t *testing.T) {
			d := newDay(t, 8, lost)
			d.serve(60 * time.Second)
			t.Logf("%d%% of the messages lost", lost)
			d.expectAllReported(tolerance, 8)
		})
	}
}

// A new holder must report the sums that its predecessor settled, and the counts that killed
// nodes had pushed.
func TestHoldersAreKilled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDay(t, 8, 0)
		d.serve(12 * time.Second)
		for range 3 {
			d.net.kill(d.holder())
			d.serve(20 * time.Second)
		}
		d.end()
		if windows, missed := d.judge(0.05); missed > windows/4 || windows < 8 {
			t.Errorf("%d of %d windows missed", missed, windows)
		}
	})
}

// If half of the nodes crash at the same time, at most one window may be lost.
func TestHalfOfTheNodesAreStartedAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDay(t, 12, 0)
		d.serve(13 * time.Second)
		killed := d.names[:6]
		for _, name := range killed {
			d.net.kill(d.net.copies()[name])
		}
		d.serve(2 * time.Second)
		for _, name := range killed {
			d.net.start(d.ctx, name, 2, d.names, d.store, d.billing)
		}
		d.serve(30 * time.Second)
		d.end()
		if windows, missed := d.judge(0.05); missed > 1 || windows < 6 {
			t.Errorf("%d of %d windows missed", missed, windows)
		}
	})
}

// While the platform does not respond, reports must be repeated unchanged.
func TestReportsAreRepeatedWhileThePlatformIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDay(t, 5, 0)
		d.serve(12 * time.Second)
		d.billing.mutex.Lock()
		d.billing.away = time.Now().Add(8 * time.Second)
		d.billing.mutex.Unlock()
		d.serve(30 * time.Second)
		d.expectAllReported(0, 5)
	})
}

// A store outage of a few seconds must not lose a window.
func TestTheStoreIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDay(t, 5, 0)
		d.serve(12 * time.Second)
		d.store.SetFault(func(metastore.Call) metastore.Fault { return metastore.Refused })
		d.serve(4 * time.Second)
		d.store.SetFault(nil)
		d.serve(25 * time.Second)
		d.expectAllReported(0, 5)
	})
}
