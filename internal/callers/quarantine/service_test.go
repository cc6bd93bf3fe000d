package quarantine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/callers/dispatch"
	"github.com/pathtally/pathtally/internal/callers/exchange"
	"github.com/pathtally/pathtally/internal/clock"
	"github.com/pathtally/pathtally/internal/environment"
	"github.com/pathtally/pathtally/internal/replicas/routing"
	"github.com/pathtally/pathtally/internal/store/objectstore"
	"github.com/pathtally/pathtally/internal/wire"
	"github.com/pathtally/pathtally/standin/metastore"
)

// testNodes is a set of services connected by an in-memory network.
type testNodes struct {
	store *metastore.Store
	mutex sync.Mutex
	nodes map[string]*Service
	// unreachable holds the nodes that no message reaches.
	unreachable map[string]bool
	// liveness is the result of every probe.
	liveness exchange.Liveness
	// onProbe is called on each probe. May be nil.
	onProbe func()
}

func startNodes(t *testing.T, count int) *testNodes {
	t.Helper()
	nodes := &testNodes{store: metastore.New(), nodes: map[string]*Service{}, unreachable: map[string]bool{}, liveness: exchange.Dead}
	for number := range count {
		nodes.start(t, fmt.Sprint("node-", number))
	}
	return nodes
}

// start starts a node. A node of the same name is replaced by one with empty state.
func (n *testNodes) start(t *testing.T, node string) *Service {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	service := NewService(ctx, Config{
		Node: node, Duration: time.Hour, Prober: n, Store: n.store, Peers: n, Logger: klog.Background(), Registry: prometheus.NewRegistry(), Clock: clock.Monotonic,
		Nodes: n.names, Address: func(name string) (string, bool) { return name, true },
	})
	service.Replace(nil, false)
	go service.Run(ctx)
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.nodes[node] = service
	return service
}

func (n *testNodes) names() []string {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	var names []string
	for name := range n.nodes {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Probe implements Prober.
func (n *testNodes) Probe(context.Context, string) exchange.Liveness {
	if n.onProbe != nil {
		n.onProbe()
	}
	return n.liveness
}

// Send implements environment.Peers.
func (n *testNodes) Send(address string, message wire.Message) {
	n.Broadcast([]string{address}, message)
}

// Broadcast implements environment.Peers.
func (n *testNodes) Broadcast(addresses []string, message wire.Message) {
	for _, address := range addresses {
		n.mutex.Lock()
		receiver, isUnreachable := n.nodes[address], n.unreachable[address]
		n.mutex.Unlock()
		if receiver != nil && !isUnreachable {
			go receiver.ReceiveReport(message.(*wire.CrashReport))
		}
	}
}

// Call implements environment.Peers.
func (n *testNodes) Call(address string, message wire.Message, timeout time.Duration, done func(wire.Message, error)) {
	n.mutex.Lock()
	receiver, isUnreachable := n.nodes[address], n.unreachable[address]
	n.mutex.Unlock()
	if receiver == nil || isUnreachable {
		time.AfterFunc(timeout, func() { done(nil, environment.ErrPeerUnreachable) })
		return
	}
	go func() { done(receiver.ReceiveReport(message.(*wire.CrashReport)), nil) }()
}

// nonAggregators returns the nodes that do not aggregate the crashes of a request.
func (n *testNodes) nonAggregators(body string) []string {
	request := fingerprintOf(testCall("", body))
	return slices.DeleteFunc(n.names(), func(name string) bool { return n.nodes[name].isAggregator(request) })
}

// testCall returns a call with an id and a body.
func testCall(id, body string) *dispatch.Call {
	return &dispatch.Call{ID: id, Method: "POST", Target: "/pay", Host: "bank.example", Body: []byte(body)}
}

// brokenAttempt returns an attempt at a replica whose connection broke.
func brokenAttempt(call *dispatch.Call, replica string) dispatch.Attempt {
	return dispatch.Attempt{Call: call, Endpoint: &routing.Endpoint{Name: replica, Address: replica}}
}

// observeBrokenAndWait reports a broken run to a node and waits until the node has checked it.
func observeBrokenAndWait(t *testing.T, service *Service, attempt dispatch.Attempt) {
	t.Helper()
	service.ObserveBroken(attempt)
	awaitChecks(t, service)
}

// awaitChecks waits until a node has checked all broken runs.
func awaitChecks(t *testing.T, service *Service) {
	t.Helper()
	eventually(t, "the crash checks have ended", func() bool {
		service.mutex.Lock()
		defer service.mutex.Unlock()
		return len(service.pendingChecks) == 0
	})
}

func isQuarantined(service *Service, body string) bool {
	var quarantined *dispatch.QuarantinedError
	return errors.As(service.Admit(context.Background(), testCall("asks", body)), &quarantined) && quarantined.Remaining > 0
}

// Guards against counting crashes per node only: retries reach other nodes under other ids.
func TestCrashesAreCountedAcrossNodes(t *testing.T) {
	nodes := startNodes(t, 12)
	for attempt, name := range nodes.names()[:crashesToQuarantine] {
		observeBrokenAndWait(t, nodes.nodes[name], brokenAttempt(testCall(fmt.Sprint("try-", attempt), "bad"), fmt.Sprint("replica-", attempt)))
	}
	for name, service := range nodes.nodes {
		eventually(t, name+" refuses the request", func() bool { return isQuarantined(service, "bad") })
		if isQuarantined(service, "another") {
			t.Errorf("%s refuses another request", name)
		}
	}
	eventually(t, "the record lists the request", func() bool { return len(storedRecord(t, nodes.store)) == 1 })
}

// Guards against losing crashes when two of the three aggregating nodes are unreachable.
func TestOneAggregatorSuffices(t *testing.T) {
	nodes := startNodes(t, 9)
	aggregators := nodes.nodes["node-0"].aggregators(fingerprintOf(testCall("", "bad")))
	for _, lost := range aggregators[:len(aggregators)-1] {
		nodes.unreachable[lost] = true
	}
	others := nodes.nonAggregators("bad")
	for attempt, name := range others[:crashesToQuarantine] {
		observeBrokenAndWait(t, nodes.nodes[name], brokenAttempt(testCall(fmt.Sprint("try-", attempt), "bad"), fmt.Sprint("replica-", attempt)))
	}
	eventually(t, "a node that saw no crash refuses the request", func() bool { return isQuarantined(nodes.nodes[others[crashesToQuarantine]], "bad") })
}

// Guards against a node that needs its peers or the store to quarantine a request.
func TestIsolatedNodeQuarantines(t *testing.T) {
	nodes := startNodes(t, 5)
	nodes.store.SetFault(func(metastore.Call) metastore.Fault { return metastore.Refused })
	for name := range nodes.nodes {
		nodes.unreachable[name] = true
	}
	isolated := nodes.nodes["node-0"]
	for attempt := range crashesToQuarantine {
		observeBrokenAndWait(t, isolated, brokenAttempt(testCall(fmt.Sprint("try-", attempt), "bad"), fmt.Sprint("replica-", attempt)))
	}
	if !isQuarantined(isolated, "bad") {
		t.Error("isolated node admits the request")
	}
}

// Guards against admitting a quarantined request on a node that was restarted.
func TestRestartedNodeReadsRecord(t *testing.T) {
	nodes := startNodes(t, 3)
	for attempt := range crashesToQuarantine {
		observeBrokenAndWait(t, nodes.nodes["node-0"], brokenAttempt(testCall(fmt.Sprint("try-", attempt), "bad"), fmt.Sprint("replica-", attempt)))
	}
	eventually(t, "the record lists the request", func() bool { return len(storedRecord(t, nodes.store)) == 1 })
	restarted := nodes.start(t, "node-1")
	restarted.Replace(nodes.store.Objects(Kind), false)
	if !isQuarantined(restarted, "bad") {
		t.Error("restarted node admits the request")
	}
	// An operator removes the request from the record.
	empty := objectstore.Object{Name: ObjectName, Spec: json.RawMessage(`{"requests":[]}`)}
	restarted.Apply([]objectstore.Change{{Object: empty}}, false)
	if isQuarantined(restarted, "bad") {
		t.Error("request removed from the record is still quarantined")
	}
}

// Guards against counting connection resets and truncated responses of live replicas.
func TestBrokenRunAtLiveReplicaIsIgnored(t *testing.T) {
	for _, liveness := range []exchange.Liveness{exchange.Alive, exchange.Unknown} {
		nodes := startNodes(t, 1)
		nodes.liveness = liveness
		for attempt := range 3 * crashesToQuarantine {
			observeBrokenAndWait(t, nodes.nodes["node-0"], brokenAttempt(testCall(fmt.Sprint("try-", attempt), "good"), fmt.Sprint("replica-", attempt)))
		}
		if isQuarantined(nodes.nodes["node-0"], "good") {
			t.Errorf("request quarantined although the replicas were %s", liveness)
		}
	}
}

// Guards against quarantining a popular request because one crash broke many of its runs.
func TestCrashBreakingManyRunsCountsOnce(t *testing.T) {
	nodes := startNodes(t, 4)
	for attempt := range 20 {
		observeBrokenAndWait(t, nodes.nodes[fmt.Sprint("node-", attempt%4)], brokenAttempt(testCall(fmt.Sprint("try-", attempt), "popular"), "replica"))
	}
	time.Sleep(20 * time.Millisecond)
	for name, service := range nodes.nodes {
		if isQuarantined(service, "popular") {
			t.Errorf("%s quarantined a request that crashed one replica", name)
		}
	}
}

// Guards against quarantining a harmless request that shares replicas with a crashing one.
func TestSuccessClearsCrashes(t *testing.T) {
	nodes := startNodes(t, 6)
	for round := range 4 {
		for attempt := range crashesToQuarantine - 1 {
			name := fmt.Sprint("node-", attempt)
			observeBrokenAndWait(t, nodes.nodes[name], brokenAttempt(testCall(fmt.Sprint(round, "-", attempt), "good"), fmt.Sprint("replica-", round, attempt)))
		}
		nodes.nodes["node-0"].ObserveResponse(testCall("served", "good"), 200)
		eventually(t, "no aggregator has crashes of the request", func() bool {
			for _, aggregator := range nodes.nodes["node-0"].aggregators(fingerprintOf(testCall("", "good"))) {
				service := nodes.nodes[aggregator]
				service.mutex.Lock()
				count := len(service.tracker.Crashes(fingerprintOf(testCall("", "good"))))
				service.mutex.Unlock()
				if count > 0 {
					return false
				}
			}
			return true
		})
	}
	if isQuarantined(nodes.nodes["node-0"], "good") {
		t.Error("request quarantined although it succeeded in between")
	}
}

// Guards against keeping the quarantine after a run that started before it has succeeded.
func TestSuccessLiftsQuarantine(t *testing.T) {
	nodes := startNodes(t, 5)
	for attempt := range crashesToQuarantine {
		observeBrokenAndWait(t, nodes.nodes["node-0"], brokenAttempt(testCall(fmt.Sprint("try-", attempt), "good"), fmt.Sprint("replica-", attempt)))
	}
	for name, service := range nodes.nodes {
		eventually(t, name+" quarantines the request", func() bool { return isQuarantined(service, "good") })
	}
	eventually(t, "the record lists the request", func() bool { return len(storedRecord(t, nodes.store)) == 1 })
	nodes.nodes["node-3"].ObserveResponse(testCall("late", "good"), 500)
	if !isQuarantined(nodes.nodes["node-3"], "good") {
		t.Fatal("an error response lifts the quarantine")
	}
	nodes.nodes["node-3"].ObserveResponse(testCall("late", "good"), 200)
	for name, service := range nodes.nodes {
		eventually(t, name+" admits the request", func() bool { return !isQuarantined(service, "good") })
	}
	eventually(t, "the record does not list the request", func() bool { return len(storedRecord(t, nodes.store)) == 0 })
}

// Guards against counting crashes caused by other requests against long resumable runs.
func TestLateBreakOfResumableRunIsIgnored(t *testing.T) {
	nodes := startNodes(t, 1)
	for attempt := range 2 * crashesToQuarantine {
		broken := brokenAttempt(testCall(fmt.Sprint("try-", attempt), "long"), fmt.Sprint("replica-", attempt))
		broken.Call.Resumable, broken.BodyReceived, broken.Duration = true, true, 2*earlyCrashLimit
		observeBrokenAndWait(t, nodes.nodes["node-0"], broken)
	}
	if isQuarantined(nodes.nodes["node-0"], "long") {
		t.Error("request quarantined although its runs had made progress")
	}
}

// Guards against admitting a retry while the crash that quarantines its request is checked.
func TestAdmitWaitsForCrashCheck(t *testing.T) {
	nodes := startNodes(t, 1)
	service := nodes.nodes["node-0"]
	for attempt := range crashesToQuarantine - 1 {
		observeBrokenAndWait(t, service, brokenAttempt(testCall(fmt.Sprint("try-", attempt), "bad"), fmt.Sprint("replica-", attempt)))
	}
	probeGate := make(chan struct{})
	nodes.onProbe = func() { <-probeGate }
	service.ObserveBroken(brokenAttempt(testCall("third", "bad"), "replica-third"))
	admitted := make(chan error, 1)
	go func() { admitted <- service.Admit(context.Background(), testCall("next", "bad")) }()
	if err := service.Admit(context.Background(), testCall("other", "good")); err != nil {
		t.Errorf("another request is not admitted: %v", err)
	}
	close(probeGate)
	var quarantined *dispatch.QuarantinedError
	if err := <-admitted; !errors.As(err, &quarantined) {
		t.Errorf("error %v, want QuarantinedError", err)
	}
}

// Guards against admitting a retry at a node that has not yet learned of the crashes seen by
// other nodes.
func TestRetryAwaitsCrashesSeenByOtherNodes(t *testing.T) {
	for range 20 {
		synctest.Test(t, func(t *testing.T) {
			nodes := startNodes(t, 6)
			others := nodes.nonAggregators("bad")
			for attempt := range crashesToQuarantine - 1 {
				observeBrokenAndWait(t, nodes.nodes[others[0]], brokenAttempt(testCall(fmt.Sprint("try-", attempt), "bad"), fmt.Sprint("replica-", attempt)))
			}
			retryNode := nodes.nodes[others[1]]
			retryNode.ObserveBroken(brokenAttempt(testCall("third", "bad"), "replica-third"))
			if !isQuarantined(retryNode, "bad") {
				t.Fatalf("the retry of a request that crashed %d replicas was admitted", crashesToQuarantine)
			}
		})
	}
}

// Guards against delaying a retry for longer than maxReportWait while no aggregator replies.
func TestWaitForAggregatorsIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := startNodes(t, 4)
		for name := range nodes.nodes {
			nodes.unreachable[name] = true
		}
		retryNode := nodes.nodes[nodes.nonAggregators("bad")[0]]
		retryNode.ObserveBroken(brokenAttempt(testCall("first", "bad"), "replica"))
		started := time.Now()
		if isQuarantined(retryNode, "bad") {
			t.Error("a request that crashed one replica was refused")
		}
		if waited := time.Since(started); waited != maxReportWait {
			t.Errorf("the retry waited for %v, want %v", waited, maxReportWait)
		}
		awaitChecks(t, retryNode)
	})
}

// Guards against admitting a quarantined request before the record has been read.
func TestAdmitsNothingBeforeRecordIsKnown(t *testing.T) {
	service := NewService(t.Context(), Config{
		Node: "one", Prober: &testNodes{}, Store: metastore.New(), Peers: &testNodes{}, Logger: klog.Background(),
		Registry: prometheus.NewRegistry(), Clock: clock.Monotonic, Nodes: func() []string { return []string{"one"} },
		Address: func(string) (string, bool) { return "", false },
	})
	var quarantineUnknown *dispatch.QuarantineUnknownError
	if err := service.Admit(t.Context(), testCall("early", "good")); !errors.As(err, &quarantineUnknown) || quarantineUnknown.RetryAfter <= 0 || dispatch.MayHaveRun(err) || service.RecordKnown() {
		t.Errorf("before the record is known: error %v, want a QuarantineUnknownError with a Retry-After", err)
	}
	service.Replace(nil, false)
	if err := service.Admit(t.Context(), testCall("late", "good")); err != nil || !service.RecordKnown() {
		t.Errorf("after an empty list: error %v, want none", err)
	}
}

func TestFingerprintDistinguishesRequests(t *testing.T) {
	base := testCall("one", "body")
	same := testCall("two", "body")
	if fingerprintOf(base) != fingerprintOf(same) {
		t.Error("fingerprint depends on the id")
	}
	for name, change := range map[string]func(call *dispatch.Call){
		"tenant":   func(call *dispatch.Call) { call.Tenant = "other" },
		"host":     func(call *dispatch.Call) { call.Host = "other.example" },
		"method":   func(call *dispatch.Call) { call.Method = "PUT" },
		"target":   func(call *dispatch.Call) { call.Target = "/pay/other" },
		"body":     func(call *dispatch.Call) { call.Body = []byte("other") },
		"boundary": func(call *dispatch.Call) { call.Host, call.Method = "bank.exampleP", "OST" },
	} {
		changed := testCall("one", "body")
		change(changed)
		if fingerprintOf(base) == fingerprintOf(changed) {
			t.Errorf("fingerprint does not depend on the %s", name)
		}
	}
}

// Guards against computing fingerprints for all requests long after the last crash.
func TestServicePrunesSuspects(t *testing.T) {
	now := testStart
	service := NewService(t.Context(), Config{
		Node: "one", Prober: &testNodes{liveness: exchange.Dead}, Store: metastore.New(), Peers: &testNodes{}, Logger: klog.Background(),
		Registry: prometheus.NewRegistry(), Clock: func() time.Time { return now }, Nodes: func() []string { return []string{"one"} },
		Address: func(string) (string, bool) { return "", false },
	})
	observeBrokenAndWait(t, service, brokenAttempt(testCall("try", "bad"), "replica"))
	if service.suspectCount.Load() != 1 {
		t.Fatal("the crash is not counted")
	}
	now = now.Add(suspectLifetime + time.Second)
	service.prune()
	if service.suspectCount.Load() != 0 {
		t.Error("an expired suspect was not pruned")
	}
}

func TestInvalidReportIsIgnored(t *testing.T) {
	nodes := startNodes(t, 1)
	ends := []wire.ReplicaEnd{{Replica: "a"}, {Replica: "b"}, {Replica: "c"}}
	nodes.nodes["node-0"].ReceiveReport(&wire.CrashReport{Fingerprint: []byte{1}, Ends: ends})
	if !nodes.nodes["node-0"].table.IsEmpty() {
		t.Error("a report without a valid fingerprint quarantined a request")
	}
}
