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
	testWindow   = 5 * time.Second
	testDeadline = 10 * time.Second
)

// receivedReport is a report that the platform has accepted, with the time since the end of
// its window.
type receivedReport struct {
	Report
	late time.Duration
}

// fakePlatform implements Platform. It checks that tokens never decrease and that reports of
// a window never differ.
type fakePlatform struct {
	t       *testing.T
	mutex   sync.Mutex
	reports map[int64]receivedReport
	token   uint64
	// unresponsiveUntil is the time until which the platform does not respond, though it
	// accepts reports.
	unresponsiveUntil time.Time
}

func (p *fakePlatform) Report(_ context.Context, report Report) error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if report.Token < p.token {
		p.t.Errorf("report with token %d of %s after one with token %d", report.Token, report.Holder, p.token)
	}
	p.token = report.Token
	current, known := p.reports[report.Window]
	if known && !maps.Equal(current.Counts, report.Counts) {
		p.t.Errorf("window %d was reported as %v and then as %v", report.Window, current.Counts, report.Counts)
	}
	if !known {
		late := time.Duration(time.Now().UnixNano()) - time.Duration(report.Window+1)*testWindow
		p.reports[report.Window] = receivedReport{Report: report, late: late}
	}
	if time.Now().Before(p.unresponsiveUntil) {
		return lease.ErrUnanswered
	}
	return nil
}

// testNetwork connects the nodes of a test.
type testNetwork struct {
	mutex sync.Mutex
	nodes map[string]*testNode
	// lossPercent is the percentage of lost messages.
	lossPercent int
	random      *rand.Rand
}

func (n *testNetwork) get(name string) *testNode {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.random.IntN(100) < n.lossPercent {
		return nil
	}
	return n.nodes[name]
}

// testNode is one process of a node.
type testNode struct {
	name        string
	incarnation uint64
	network     *testNetwork
	service     *Service
	elector     *lease.Elector
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
		to := n.network.get(address)
		if to == nil {
			time.Sleep(timeout)
			done(nil, merry.New("no reply"))
			return
		}
		done(to.service.ReceivePush(message.(*wire.UsagePush)), nil)
	}()
}

// announce sends a node's heartbeat to all other nodes.
func (n *testNode) announce() {
	heartbeat := &wire.NodeBeat{}
	n.service.FillHeartbeat(heartbeat)
	seen := n.elector.LastObserved()
	for name := range n.network.runningNodes() {
		if other := n.network.get(name); other != nil && other != n {
			go func() {
				other.heartbeats.Store(n.name, time.Now())
				other.elector.Observe(seen)
				other.service.ReceiveHeartbeat(heartbeat)
			}()
		}
	}
}

func (n *testNetwork) runningNodes() map[string]*testNode {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return maps.Clone(n.nodes)
}

// start runs a new process of a node.
func (n *testNetwork) start(ctx context.Context, name string, incarnation uint64, names []string, store *metastore.Store, platform Platform) *testNode {
	ctx, stop := context.WithCancel(ctx)
	node := &testNode{name: name, incarnation: incarnation, network: n, stop: stop}
	node.elector = lease.NewElector(lease.Config{
		Node: name, Lease: lease.NewLease(name, fmt.Sprint(incarnation), 0, store, clock.Monotonic), Clock: clock.Monotonic, Logger: klog.Background(),
		Nodes: func() []string { return names }, Announce: func([]string) { node.announce() },
		SinceHeartbeat: func(other string) time.Duration {
			at, _ := node.heartbeats.Load(other)
			heard, _ := at.(time.Time)
			return time.Since(heard)
		},
	})
	node.service = NewService(Config{
		Node: name, Incarnation: incarnation, Window: testWindow, ReportDeadline: testDeadline, Elector: node.elector, Store: store, Platform: platform,
		Peers: node, Logger: klog.Background(), Registry: prometheus.NewRegistry(), Nodes: func() []string { return names },
		Peer: func(other string) (string, uint64, bool) {
			current := n.runningNodes()[other]
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
func (n *testNetwork) kill(node *testNode) {
	n.mutex.Lock()
	delete(n.nodes, node.name)
	n.mutex.Unlock()
	node.stop()
}

// testRun is a test run of some nodes that serve requests of several tenants.
type testRun struct {
	t        *testing.T
	ctx      context.Context
	network  *testNetwork
	store    *metastore.Store
	platform *fakePlatform
	names    []string
	// expected is the number of requests that were counted, by window.
	expected map[int64]Counts
}

func newTestRun(t *testing.T, nodes int, lossPercent int) *testRun {
	r := &testRun{
		t: t, ctx: t.Context(), store: metastore.New(), platform: &fakePlatform{t: t, reports: map[int64]receivedReport{}},
		network: &testNetwork{nodes: map[string]*testNode{}, lossPercent: lossPercent, random: rand.New(rand.NewPCG(3, 4))}, expected: map[int64]Counts{},
	}
	for number := range nodes {
		r.names = append(r.names, fmt.Sprint("node-", number))
	}
	for _, name := range r.names {
		r.network.start(r.ctx, name, 1, r.names, r.store, r.platform)
	}
	return r
}

// serve makes a running node begin a request every 20 ms, for a time. The nodes take turns.
func (r *testRun) serve(span time.Duration) {
	for number, end := 0, time.Now().Add(span); time.Now().Before(end); number++ {
		time.Sleep(20 * time.Millisecond)
		node := r.network.runningNodes()[r.names[number%len(r.names)]]
		if node == nil {
			continue
		}
		now := time.Now()
		tenant := fmt.Sprint("tenant-", number%3)
		node.service.CountRequest(tenant, now)
		window := int64(time.Duration(now.UnixNano()) / testWindow)
		if r.expected[window] == nil {
			r.expected[window] = Counts{}
		}
		r.expected[window][tenant]++
	}
}

// compareReports compares the reports with the expected counts, without the first and the
// last two windows. It returns the number of windows, and how many were missed: not reported
// in time, or with a relative error above the tolerance.
func (r *testRun) compareReports(tolerance float64) (windows, missed int) {
	r.platform.mutex.Lock()
	defer r.platform.mutex.Unlock()
	first, last := int64(1<<62), int64(0)
	for window := range r.expected {
		first, last = min(first, window), max(last, window)
	}
	for window := first + 1; window < last-1; window++ {
		windows++
		report, known := r.platform.reports[window]
		off := 0.0
		for tenant, count := range r.expected[window] {
			off += max(float64(count)-float64(report.Counts[tenant]), float64(report.Counts[tenant])-float64(count))
		}
		if !known || report.late > testDeadline || off > tolerance*float64(r.expected[window].total()) {
			r.t.Logf("window %d: reported %v %s after its end, want %v", window, report.Counts, report.late, r.expected[window])
			missed++
		}
	}
	return windows, missed
}

func (r *testRun) holder() *testNode {
	for _, node := range r.network.runningNodes() {
		if node.elector.TenureToken() != 0 {
			return node
		}
	}
	r.t.Fatal("no node holds the lease")
	return nil
}

func (r *testRun) shutDown() {
	time.Sleep(30 * time.Second)
	for _, node := range r.network.runningNodes() {
		r.network.kill(node)
	}
	time.Sleep(time.Minute)
}

// expectAllReported ends the run and checks that no window was missed, and that there were
// enough windows.
func (r *testRun) expectAllReported(tolerance float64, minWindows int) {
	r.t.Helper()
	r.shutDown()
	if windows, missed := r.compareReports(tolerance); missed > 0 || windows < minWindows {
		r.t.Errorf("%d of %d windows missed, want none of at least %d", missed, windows, minWindows)
	}
}

// Every window must be reported in time with the counts of all nodes, exactly if no messages
// are lost and with a small error otherwise.
func TestEveryWindowIsReportedOnce(t *testing.T) {
	for lossPercent, tolerance := range map[int]float64{0: 0, 10: 0.05} {
		synctest.Test(t, func(t *testing.T) {
			r := newTestRun(t, 8, lossPercent)
			r.serve(60 * time.Second)
			t.Logf("%d%% message loss", lossPercent)
			r.expectAllReported(tolerance, 8)
		})
	}
}

// A new holder must report the sums that its predecessor settled, and the counts that killed
// nodes had pushed.
func TestReportsSurviveKilledHolders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestRun(t, 8, 0)
		r.serve(12 * time.Second)
		for range 3 {
			r.network.kill(r.holder())
			r.serve(20 * time.Second)
		}
		r.shutDown()
		if windows, missed := r.compareReports(0.05); missed > windows/4 || windows < 8 {
			t.Errorf("%d of %d windows missed, too many or too few windows", missed, windows)
		}
	})
}

// If half of the nodes crash at the same time, at most one window may be lost.
func TestReportsSurviveCrashOfHalfTheNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestRun(t, 12, 0)
		r.serve(13 * time.Second)
		killed := r.names[:6]
		for _, name := range killed {
			r.network.kill(r.network.runningNodes()[name])
		}
		r.serve(2 * time.Second)
		for _, name := range killed {
			r.network.start(r.ctx, name, 2, r.names, r.store, r.platform)
		}
		r.serve(30 * time.Second)
		r.shutDown()
		if windows, missed := r.compareReports(0.05); missed > 1 || windows < 6 {
			t.Errorf("%d of %d windows missed, too many or too few windows", missed, windows)
		}
	})
}

// While the platform does not respond, reports must be repeated unchanged.
func TestReportsRepeatDuringPlatformOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestRun(t, 5, 0)
		r.serve(12 * time.Second)
		r.platform.mutex.Lock()
		r.platform.unresponsiveUntil = time.Now().Add(8 * time.Second)
		r.platform.mutex.Unlock()
		r.serve(30 * time.Second)
		r.expectAllReported(0, 5)
	})
}

// A store outage of a few seconds must not lose a window.
func TestReportsSurviveStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestRun(t, 5, 0)
		r.serve(12 * time.Second)
		r.store.SetFault(func(metastore.Call) metastore.Fault { return metastore.Refused })
		r.serve(4 * time.Second)
		r.store.SetFault(nil)
		r.serve(25 * time.Second)
		r.expectAllReported(0, 5)
	})
}
