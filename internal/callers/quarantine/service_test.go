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

// testNodes are services that talk to each other through a network of the test's.
type testNodes struct {
	store *metastore.Store
	mutex sync.Mutex
	nodes map[string]*Service
	// cut are nodes that nobody reaches.
	cut map[string]bool
	// found is what probes of replicas bring.
	found exchange.Liveness
	// probed is called with each probe, nil for none.
	probed func()
}

func startNodes(t *testing.T, count int) *testNodes {
	t.Helper()
	made := &testNodes{store: metastore.New(), nodes: map[string]*Service{}, cut: map[string]bool{}, found: exchange.Ended}
	for number := range count {
		made.start(t, fmt.Sprint("node-", number))
	}
	return made
}

// start starts a node, or starts it anew without what it knew.
func (n *testNodes) start(t *testing.T, node string) *Service {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	service := NewService(ctx, Config{
		Node: node, Span: time.Hour, Prober: n, Store: n.store, Peers: n, Logger: klog.Background(), Registry: prometheus.NewRegistry(), Clock: clock.Steady,
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

// Call implements environment.Peers; nobody calls here.
func (n *testNodes) Call(string, wire.Message, time.Duration, func(wire.Message, error)) {}

// testCall is a request with a body, under an id of its own.
func testCall(id, body string) *dispatch.Call {
	return &dispatch.Call{ID: id, Method: "POST", Target: "/pay", Host: "bank.example", Body: []byte(body)}
}

// brokenRun is a run of a call that has just broken at a replica.
func brokenRun(call *dispatch.Call, replica string) dispatch.Run {
	return dispatch.Run{Call: call, Endpoint: &routing.Endpoint{Name: replica, Address: replica}}
}

// settledBreak has a node examine a broken run to the end.
func settledBreak(t *testing.T, service *Service, run dispatch.Run) {
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
	return errors.As(service.Admit(context.Background(), testCall("asks", body)), &quarantined) && quarantined.Left > 0
}

// Three tries of one request, each at another node and under another id, end one replica
// each: no node has seen more than one end itself.
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

// Two of the three keepers are lost: the third counts.
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

// A node that nobody reaches still protects replicas from what it sees itself.
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

// A node that heard nothing, or was started anew, learns of it from the store.
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
	// An operator takes it out.
	empty := objectstore.Object{Name: ObjectName, Spec: json.RawMessage(`{"requests":[]}`)}
	started.Apply([]objectstore.Change{{Object: empty}}, false)
	if isHeld(started, "bad") {
		t.Error("the node holds a request that was taken out of the record")
	}
}

// Resets of connections and truncated answers are no ends of replicas.
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

// One replica ends and cuts off many runs of the same popular request.
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

// A good request shares replicas with one that ends them, and is served in between.
func TestAWholeAnswerClearsARequest(t *testing.T) {
	nodes := startNodes(t, 6)
	for round := range 4 {
		for try := range endsToQuarantine - 1 {
			name := fmt.Sprint("node-", try)
			settledBreak(t, nodes.nodes[name], brokenRun(testCall(fmt.Sprint(round, "-", try), "good"), fmt.Sprint("replica-", round, try)))
		}
		nodes.nodes["node-0"].ObserveServed(testCall("served", "good"), 200)
		eventually(t, "nobody remembers ends under it", func() bool {
			for _, keeper := range nodes.nodes["node-0"].keepers(fingerprintOf(testCall("", "good"))) {
				service := nodes.nodes[keeper]
				service.mutex.Lock()
				known := len(service.ledger.Ends(fingerprintOf(testCall("", "good"))))
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

// A run that was under way when the request was put in quarantine ends well.
func TestAWholeAnswerLiftsAQuarantineEverywhere(t *testing.T) {
	nodes := startNodes(t, 5)
	for try := range endsToQuarantine {
		settledBreak(t, nodes.nodes["node-0"], brokenRun(testCall(fmt.Sprint("try-", try), "good"), fmt.Sprint("replica-", try)))
	}
	for name, service := range nodes.nodes {
		eventually(t, name+" holds the request", func() bool { return isHeld(service, "good") })
	}
	eventually(t, "the store has it", func() bool { return len(recorded(t, nodes.store)) == 1 })
	nodes.nodes["node-3"].ObserveServed(testCall("late", "good"), 500)
	if !isHeld(nodes.nodes["node-3"], "good") {
		t.Fatal("a failure lifts the quarantine")
	}
	nodes.nodes["node-3"].ObserveServed(testCall("late", "good"), 200)
	for name, service := range nodes.nodes {
		eventually(t, name+" lets the request through", func() bool { return !isHeld(service, "good") })
	}
	eventually(t, "the store has it no more", func() bool { return len(recorded(t, nodes.store)) == 0 })
}

// Items and streams run for seconds and go on elsewhere: what cuts them off is mostly the
// end that another request has brought about.
func TestRunsThatCameFarDoNotCount(t *testing.T) {
	nodes := startNodes(t, 1)
	for try := range 2 * endsToQuarantine {
		run := brokenRun(testCall(fmt.Sprint("try-", try), "long"), fmt.Sprint("replica-", try))
		run.Call.Resumable, run.Received, run.Lasted = true, true, 2*earlyBreakLimit
		settledBreak(t, nodes.nodes["node-0"], run)
	}
	if isHeld(nodes.nodes["node-0"], "long") {
		t.Error("a request whose runs came far is held")
	}
}

// An item is sent again within milliseconds of its break: the run that follows the third
// end waits until that has been found out.
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

// Ends of long ago no longer cost ordinary requests anything.
func TestAServiceForgetsEndsOfLongAgo(t *testing.T) {
	now := start
	service := NewService(t.Context(), Config{
		Node: "one", Prober: &testNodes{found: exchange.Ended}, Store: metastore.New(), Peers: &testNodes{}, Logger: klog.Background(),
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
