package quarantine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/callers/dispatch"
	"github.com/pathtally/pathtally/internal/callers/exchange"
	"github.com/pathtally/pathtally/internal/clock"
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
	// cut holds the nodes that no message reaches.
	cut map[string]bool
	// found is the result of every probe.
	found exchange.Liveness
	// probed is called on each probe. May be nil.
	probed func()
}

func startNodes(t *testing.T, count int) *testNodes {
	t.Helper()
	made := &testNodes{store: metastore.New(), nodes: map[string]*Service{}, cut: map[string]bool{}, found: exchange.Dead}
	for number := range count {
		made.start(t, fmt.Sprint("node-", number))
	}
	return made
}

// start starts a node. A node of the same name is replaced by one with empty state.
func (n *testNodes) start(t *testing.T, node string) *Service {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	service := NewService(ctx, Config{
		Node: node, Duration: time.Hour, Prober: n, Store: n.store, Peers: n, Logger: klog.Background(), Registry: prometheus.NewRegistry(), Clock: clock.Steady,
		Nodes: n.names, Address: func(name string) (string, bool) { return name, true },
	})
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
	if n.probed != nil {
		n.probed()
	}
	return n.found
}

// Send implements environment.Peers.
func (n *testNodes) Send(address string, message wire.Message) {
	n.Broadcast([]string{address}, message)
}

// Broadcast implements environment.Peers.
func (n *testNodes) Broadcast(addresses []string, message wire.Message) {
	for _, address := range addresses {
		n.mutex.Lock()
		receiver, isCut := n.nodes[address], n.cut[address]
		n.mutex.Unlock()
		if receiver != nil && !isCut {
			go receiver.ReceiveReport(message.(*wire.CrashReport))
		}
	}
}

// Call implements environment.Peers. It is not used.
func (n *testNodes) Call(string, wire.Message, time.Duration, func(wire.Message, error)) {}

// testCall returns a call with an id and a body.
func testCall(id, body string) *dispatch.Call {
	return &dispatch.Call{ID: id, Method: "POST", Target: "/pay", Host: "bank.example", Body: []byte(body)}
}

// brokenRun returns an attempt at a replica whose connection broke.
func brokenRun(call *dispatch.Call, replica string) dispatch.Attempt {
	return dispatch.Attempt{Call: call, Endpoint: &routing.Endpoint{Name: replica, Address: replica}}
}

// settledBreak reports a broken run to a node and waits until the node has checked it.
func settledBreak(t *testing.T, service *Service, run dispatch.Attempt) {
	t.Helper()
	service.ObserveBroken(run)
	eventually(t, "the run has been examined", func() bool {
		service.mutex.Lock()
		defer service.mutex.Unlock()
		return len(service.examining) == 0
	})
}

func isHeld(service *Service, body string) bool {
	var quarantined *dispatch.QuarantinedError
	return errors.As(service.Admit(context.Background(), testCall("asks", body)), &quarantined) && quarantined.Remaining > 0
}

// Guards against counting crashes per node only: retries reach other nodes under other ids.
func TestEndsAtDifferentNodesAreCountedTogether(t *testing.T) {
	nodes := startNodes(t, 12)
	for try, name := range nodes.names()[:endsToQuarantine] {
		settledBreak(t, nodes.nodes[name], brokenRun(testCall(fmt.Sprint("try-", try), "bad"), fmt.Sprint("replica-", try)))
	}
	for name, service := range nodes.nodes {
		eventually(t, name+" refuses the request", func() bool { return isHeld(service, "bad") })
		if isHeld(service, "another") {
			t.Errorf("%s refuses another request", name)
		}
	}
	eventually(t, "the store has it", func() bool { return len(recorded(t, nodes.store)) == 1 })
}

// Guards against losing crashes when two of the three aggregating nodes are unreachable.
func TestOneKeeperIsEnough(t *testing.T) {
	nodes := startNodes(t, 9)
	keepers := nodes.nodes["node-0"].keepers(fingerprintOf(testCall("", "bad")))
	for _, lost := range keepers[:len(keepers)-1] {
		nodes.cut[lost] = true
	}
	var others []string
	for _, name := range nodes.names() {
		if !slices.Contains(keepers, name) {
			others = append(others, name)
		}
	}
	for try, name := range others[:endsToQuarantine] {
		settledBreak(t, nodes.nodes[name], brokenRun(testCall(fmt.Sprint("try-", try), "bad"), fmt.Sprint("replica-", try)))
	}
	eventually(t, "a node that has seen nothing refuses the request", func() bool { return isHeld(nodes.nodes[others[endsToQuarantine]], "bad") })
}

// Guards against a node that needs its peers or the store to quarantine a request.
func TestANodeThatIsCutOffCountsForItself(t *testing.T) {
	nodes := startNodes(t, 5)
	nodes.store.SetFault(func(metastore.Call) metastore.Fault { return metastore.Refused })
	for name := range nodes.nodes {
		nodes.cut[name] = true
	}
	alone := nodes.nodes["node-0"]
	for try := range endsToQuarantine {
		settledBreak(t, alone, brokenRun(testCall(fmt.Sprint("try-", try), "bad"), fmt.Sprint("replica-", try)))
	}
	if !isHeld(alone, "bad") {
		t.Error("the node lets the request through")
	}
}

// Guards against admitting a quarantined request on a node that was restarted.
func TestTheStoreTellsNodesThatStart(t *testing.T) {
	nodes := startNodes(t, 3)
	for try := range endsToQuarantine {
		settledBreak(t, nodes.nodes["node-0"], brokenRun(testCall(fmt.Sprint("try-", try), "bad"), fmt.Sprint("replica-", try)))
	}
	eventually(t, "the store has it", func() bool { return len(recorded(t, nodes.store)) == 1 })
	started := nodes.start(t, "node-1")
	started.Replace(nodes.store.Objects(Kind), false)
	if !isHeld(started, "bad") {
		t.Error("the node lets the request through")
	}
	// An operator removes the request from the record.
	empty := objectstore.Object{Name: ObjectName, Spec: json.RawMessage(`{"requests":[]}`)}
	started.Apply([]objectstore.Change{{Object: empty}}, false)
	if isHeld(started, "bad") {
		t.Error("the node holds a request that was taken out of the record")
	}
}

// Guards against counting connection resets and truncated responses of live replicas.
func TestBreaksAtLivingReplicasDoNotCount(t *testing.T) {
	for _, found := range []exchange.Liveness{exchange.Alive, exchange.Unknown} {
		nodes := startNodes(t, 1)
		nodes.found = found
		for try := range 3 * endsToQuarantine {
			settledBreak(t, nodes.nodes["node-0"], brokenRun(testCall(fmt.Sprint("try-", try), "good"), fmt.Sprint("replica-", try)))
		}
		if isHeld(nodes.nodes["node-0"], "good") {
			t.Errorf("a request is held although the replicas were %s", found)
		}
	}
}

// Guards against quarantining a popular request because one crash broke many of its runs.
func TestOneEndCountsOnceHoweverManyRunsItCuts(t *testing.T) {
	nodes := startNodes(t, 4)
	for try := range 20 {
		settledBreak(t, nodes.nodes[fmt.Sprint("node-", try%4)], brokenRun(testCall(fmt.Sprint("try-", try), "popular"), "replica"))
	}
	time.Sleep(20 * time.Millisecond)
	for name, service := range nodes.nodes {
		if isHeld(service, "popular") {
			t.Errorf("%s holds a request under which one replica has ended", name)
		}
	}
}

// Guards against quarantining a harmless request that shares replicas with a crashing one.
func TestAWholeAnswerClearsARequest(t *testing.T) {
	nodes := startNodes(t, 6)
	for round := range 4 {
		for try := range endsToQuarantine - 1 {
			name := fmt.Sprint("node-", try)
			settledBreak(t, nodes.nodes[name], brokenRun(testCall(fmt.Sprint(round, "-", try), "good"), fmt.Sprint("replica-", round, try)))
		}
		nodes.nodes["node-0"].ObserveResponse(testCall("served", "good"), 200)
		eventually(t, "nobody remembers ends under it", func() bool {
			for _, keeper := range nodes.nodes["node-0"].keepers(fingerprintOf(testCall("", "good"))) {
				service := nodes.nodes[keeper]
				service.mutex.Lock()
				known := len(service.ledger.Crashes(fingerprintOf(testCall("", "good"))))
				service.mutex.Unlock()
				if known > 0 {
					return false
				}
			}
			return true
		})
	}
	if isHeld(nodes.nodes["node-0"], "good") {
		t.Error("a request that was served in between is held")
	}
}

// Guards against keeping the quarantine after a run that started before it has succeeded.
func TestAWholeAnswerLiftsAQuarantineEverywhere(t *testing.T) {
	nodes := startNodes(t, 5)
	for try := range endsToQuarantine {
		settledBreak(t, nodes.nodes["node-0"], brokenRun(testCall(fmt.Sprint("try-", try), "good"), fmt.Sprint("replica-", try)))
	}
	for name, service := range nodes.nodes {
		eventually(t, name+" holds the request", func() bool { return isHeld(service, "good") })
	}
	eventually(t, "the store has it", func() bool { return len(recorded(t, nodes.store)) == 1 })
	nodes.nodes["node-3"].ObserveResponse(testCall("late", "good"), 500)
	if !isHeld(nodes.nodes["node-3"], "good") {
		t.Fatal("a failure lifts the quarantine")
	}
	nodes.nodes["node-3"].ObserveResponse(testCall("late", "good"), 200)
	for name, service := range nodes.nodes {
		eventually(t, name+" lets the request through", func() bool { return !isHeld(service, "good") })
	}
	eventually(t, "the store has it no more", func() bool { return len(recorded(t, nodes.store)) == 0 })
}

// Guards against counting crashes caused by other requests against long resumable runs.
func TestRunsThatCameFarDoNotCount(t *testing.T) {
	nodes := startNodes(t, 1)
	for try := range 2 * endsToQuarantine {
		run := brokenRun(testCall(fmt.Sprint("try-", try), "long"), fmt.Sprint("replica-", try))
		run.Call.Resumable, run.BodyReceived, run.Duration = true, true, 2*earlyBreakLimit
		settledBreak(t, nodes.nodes["node-0"], run)
	}
	if isHeld(nodes.nodes["node-0"], "long") {
		t.Error("a request whose runs came far is held")
	}
}

// Guards against admitting a retry while the crash that quarantines its request is checked.
func TestTheNextRunWaitsForWhatIsBeingFoundOut(t *testing.T) {
	nodes := startNodes(t, 1)
	service := nodes.nodes["node-0"]
	for try := range endsToQuarantine - 1 {
		settledBreak(t, service, brokenRun(testCall(fmt.Sprint("try-", try), "bad"), fmt.Sprint("replica-", try)))
	}
	slow := make(chan struct{})
	nodes.probed = func() { <-slow }
	service.ObserveBroken(brokenRun(testCall("third", "bad"), "replica-third"))
	admitted := make(chan error, 1)
	go func() { admitted <- service.Admit(context.Background(), testCall("next", "bad")) }()
	if err := service.Admit(context.Background(), testCall("other", "good")); err != nil {
		t.Errorf("another request gets %v", err)
	}
	close(slow)
	var quarantined *dispatch.QuarantinedError
	if err := <-admitted; !errors.As(err, &quarantined) {
		t.Errorf("the next run is admitted, error %v", err)
	}
}

func TestFingerprintTellsRequestsApart(t *testing.T) {
	base := testCall("one", "body")
	same := testCall("two", "body")
	if fingerprintOf(base) != fingerprintOf(same) {
		t.Error("another id makes another request")
	}
	for name, change := range map[string]func(call *dispatch.Call){
		"tenant": func(call *dispatch.Call) { call.Tenant = "other" },
		"host":   func(call *dispatch.Call) { call.Host = "other.example" },
		"method": func(call *dispatch.Call) { call.Method = "PUT" },
		"target": func(call *dispatch.Call) { call.Target = "/pay/other" },
		"body":   func(call *dispatch.Call) { call.Body = []byte("other") },
		"border": func(call *dispatch.Call) { call.Host, call.Method = "bank.exampleP", "OST" },
	} {
		changed := testCall("one", "body")
		change(changed)
		if fingerprintOf(base) == fingerprintOf(changed) {
			t.Errorf("another %s makes no other request", name)
		}
	}
}

// Guards against computing fingerprints for all requests long after the last crash.
func TestAServiceForgetsEndsOfLongAgo(t *testing.T) {
	now := start
	service := NewService(t.Context(), Config{
		Node: "one", Prober: &testNodes{found: exchange.Dead}, Store: metastore.New(), Peers: &testNodes{}, Logger: klog.Background(),
		Registry: prometheus.NewRegistry(), Clock: func() time.Time { return now }, Nodes: func() []string { return []string{"one"} },
		Address: func(string) (string, bool) { return "", false },
	})
	settledBreak(t, service, brokenRun(testCall("try", "bad"), "replica"))
	if service.suspects.Load() != 1 {
		t.Fatal("the end is not remembered")
	}
	now = now.Add(suspectLifetime + time.Second)
	service.prune()
	if service.suspects.Load() != 0 {
		t.Error("an end of long ago is still remembered")
	}
}

func TestReportsOfAnotherLengthArePassedOver(t *testing.T) {
	nodes := startNodes(t, 1)
	ends := []wire.ReplicaEnd{{Replica: "a"}, {Replica: "b"}, {Replica: "c"}}
	nodes.nodes["node-0"].ReceiveReport(&wire.CrashReport{Fingerprint: []byte{1}, Ends: ends})
	if !nodes.nodes["node-0"].table.IsEmpty() {
		t.Error("a report without a fingerprint holds something")
	}
}
