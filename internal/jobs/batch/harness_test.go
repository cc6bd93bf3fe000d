package batch

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/callers/dispatch"
	"github.com/pathtally/pathtally/internal/callers/exchange"
	"github.com/pathtally/pathtally/internal/callers/forward"
	"github.com/pathtally/pathtally/internal/clock"
	"github.com/pathtally/pathtally/internal/cluster/peering"
	"github.com/pathtally/pathtally/internal/environment"
	"github.com/pathtally/pathtally/internal/jobs/jobstore"
	"github.com/pathtally/pathtally/internal/replicas/directory"
	"github.com/pathtally/pathtally/internal/store/objectstore"
	"github.com/pathtally/pathtally/internal/store/watchcache"
	"github.com/pathtally/pathtally/internal/wire"
	"github.com/pathtally/pathtally/standin/metastore"
)

const (
	headerID      = "X-Id"
	headerReplica = "X-Replica"
	headerVersion = "X-Version"
	headerAfter   = "Last-Event-Id"
	versionField  = "x-version"
)

// testHeaders implements dispatch's header codec, independently of any platform.
type testHeaders struct{}

func (testHeaders) Encode(header http.Header, metadata dispatch.RequestMetadata) {
	header.Set(headerReplica, metadata.Replica)
	if metadata.LastEventID > 0 {
		header.Set(headerAfter, strconv.Itoa(metadata.LastEventID))
	}
}

func (testHeaders) Decode(status int, header http.Header) dispatch.ResponseMetadata {
	version, _ := strconv.ParseInt(header.Get(headerVersion), 10, 64)
	return dispatch.ResponseMetadata{RequestID: header.Get(headerID), Signed: true, NotRun: status == http.StatusServiceUnavailable, Version: version}
}

// testCodec decodes submissions from the JSON encoding of Submission.
type testCodec struct{}

func (testCodec) DecodeSubmission(body []byte) (*Submission, error) {
	submission := &Submission{}
	err := json.Unmarshal(body, submission)
	return submission, err
}

func (testCodec) EncodePage(int, int, []jobstore.Result) ([]byte, error) { return nil, nil }

func (testCodec) DecodeCall(*http.Request) (Call, bool, error) { return Call{}, false, nil }

func (testCodec) VersionField() string { return versionField }

func (testCodec) ScoreSignature(header http.Header) string { return header.Get("X-Signature") }

// testEngine is a replica that streams a number of events. The text of each names the
// item and the event's number.
type testEngine struct {
	address string
	events  int
	mutex   sync.Mutex
	version int64
	// hold, while open, stops streams after event holdAt.
	hold    chan struct{}
	holdAt  int
	runs    map[string]int
	resumed map[string][]int
	// breakAt is the event within which the first run of each item is broken, 0 for none.
	breakAt int
	fail    map[string]int
}

func startEngine(t *testing.T, events int) *testEngine {
	t.Helper()
	engine := &testEngine{events: events, version: 1, runs: map[string]int{}, resumed: map[string][]int{}, fail: map[string]int{}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	engine.address = listener.Addr().String()
	server := &http.Server{Handler: engine}
	go server.Serve(listener)
	t.Cleanup(func() { server.Close() })
	return engine
}

func (e *testEngine) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	io.Copy(io.Discard, request.Body)
	id := request.Header.Get(headerID)
	after, _ := strconv.Atoi(request.Header.Get(headerAfter))
	e.mutex.Lock()
	e.runs[id]++
	first := e.runs[id] == 1
	e.resumed[id] = append(e.resumed[id], after)
	failing := e.fail[id] > 0
	e.fail[id]--
	version, hold := e.version, e.hold
	e.mutex.Unlock()
	writer.Header().Set(headerID, id)
	if failing {
		writer.WriteHeader(http.StatusInternalServerError)
		return
	}
	if after < e.events {
		// A replica with nothing to add has used no weights.
		writer.Header().Set(headerVersion, strconv.FormatInt(version, 10))
	}
	writer.Header().Set("Content-Type", "text/event-stream")
	writer.WriteHeader(http.StatusOK)
	for number := after + 1; number <= e.events; number++ {
		if hold != nil && number > e.holdAt {
			select {
			case <-hold:
			case <-request.Context().Done():
				return
			}
		}
		if first && e.breakAt == number {
			fmt.Fprintf(writer, "id: %d\nda", number)
			writer.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(writer, "id: %d\ndata: %s.%d\n\n", number, id, number)
		writer.(http.Flusher).Flush()
	}
}

// testPeers connects the nodes of a test by their addresses.
type testPeers struct {
	mutex    sync.Mutex
	services map[string]*testNode
	// disconnected are the addresses that can neither send nor receive.
	disconnected map[string]bool
	// lostReplies is the address of the node whose replies to submissions are lost.
	lostReplies string
}

// testNode is a node of a test cluster.
type testNode struct {
	*Service
	table  *peering.Table
	cancel context.CancelFunc
	ctx    context.Context
}

// link is a node's connection to its peers.
type link struct {
	peers *testPeers
	from  string
}

var _ environment.Peers = link{}

func (l link) target(address string) *testNode {
	l.peers.mutex.Lock()
	defer l.peers.mutex.Unlock()
	if l.peers.disconnected[address] || l.peers.disconnected[l.from] {
		return nil
	}
	return l.peers.services[address]
}

func (l link) Send(address string, message wire.Message) { l.Broadcast([]string{address}, message) }

func (l link) Broadcast(addresses []string, message wire.Message) {
	for _, address := range addresses {
		if node := l.target(address); node != nil {
			go node.receive(message, func(wire.Message) {})
		}
	}
}

func (l link) Call(address string, message wire.Message, timeout time.Duration, done func(wire.Message, error)) {
	node := l.target(address)
	if node == nil {
		time.AfterFunc(min(timeout, 20*time.Millisecond), func() { done(nil, environment.ErrPeerUnreachable) })
		return
	}
	_, submits := message.(*wire.JobSubmit)
	l.peers.mutex.Lock()
	lost := submits && l.peers.lostReplies == address
	l.peers.mutex.Unlock()
	if lost {
		go node.receive(message, func(wire.Message) {})
		time.AfterFunc(timeout, func() { done(nil, environment.ErrPeerUnreachable) })
		return
	}
	go node.receive(message, func(reply wire.Message) { done(reply, nil) })
}

func (n *testNode) receive(message wire.Message, reply func(wire.Message)) {
	if heartbeat, isHeartbeat := message.(*wire.NodeBeat); isHeartbeat {
		reply(n.table.HandleJoin(heartbeat))
		return
	}
	n.HandleMessage(message, reply)
}

// gate delays calls of one verb on one kind of object: a read before it is made, a create
// after it was applied and before its response.
type gate struct {
	verb, kind string
	open       chan struct{}
	// reached counts the calls that were delayed.
	reached atomic.Int32
}

// wait delays a call that the gate applies to. It returns false if the context ended
// first.
func (g *gate) wait(ctx context.Context, verb, kind string) bool {
	if g == nil || g.verb != verb || g.kind != kind {
		return true
	}
	g.reached.Add(1)
	select {
	case <-g.open:
		return true
	case <-ctx.Done():
		return false
	}
}

// gatedStore is a store whose calls a gate may delay.
type gatedStore struct {
	*metastore.Store
	gate *atomic.Pointer[gate]
}

func (s gatedStore) List(ctx context.Context, kind, after string, freshness objectstore.Freshness) (objectstore.Page, error) {
	if !s.gate.Load().wait(ctx, "list", kind) {
		return objectstore.Page{}, &objectstore.UnansweredError{Cause: ctx.Err()}
	}
	return s.Store.List(ctx, kind, after, freshness)
}

func (s gatedStore) Create(ctx context.Context, kind, name string, spec json.RawMessage) (objectstore.Object, error) {
	object, err := s.Store.Create(ctx, kind, name, spec)
	if !s.gate.Load().wait(ctx, "create", kind) {
		return objectstore.Object{}, &objectstore.UnansweredError{Cause: ctx.Err()}
	}
	return object, err
}

// cluster is a set of nodes that share a store and some engines.
type cluster struct {
	t     *testing.T
	store *metastore.Store
	// gate delays calls of the nodes to the store.
	gate  atomic.Pointer[gate]
	peers *testPeers
	nodes []*testNode
	// regions are the regions of nodes and engines, by name; each region has one zone of
	// the same name. allowedRegions are the route's.
	regions        map[string]string
	allowedRegions []string
	// maxBroadcastPeers is the number of peers up to which starts and ends are announced
	// to all, 0 for the default.
	maxBroadcastPeers int
}

// regions are the regions of the test's zones.
var regions = map[string]string{"north": "north", "south": "south", "west": "west"}

const testRoute = "drafts"

func newCluster(t *testing.T, nodes int, engines ...*testEngine) *cluster {
	t.Helper()
	cluster := &cluster{t: t, store: metastore.New(), peers: &testPeers{services: map[string]*testNode{}, disconnected: map[string]bool{}}}
	for number := range nodes {
		cluster.addNode(fmt.Sprintf("node-%d", number), engines)
	}
	return cluster
}

// addNode adds a node and waits until it has joined.
func (c *cluster) addNode(name string, engines []*testEngine) *testNode {
	c.t.Helper()
	node := c.makeNode(name, engines)
	node.table.Join(node.ctx)
	c.start(node)
	return node
}

// addUnjoinedNode adds a node without waiting until it has joined.
func (c *cluster) addUnjoinedNode(name string, engines []*testEngine) *testNode {
	c.t.Helper()
	node := c.makeNode(name, engines)
	go node.table.Join(node.ctx)
	c.start(node)
	return node
}

func (c *cluster) start(node *testNode) {
	go watchcache.NewInformer(c.store, peering.NodeKind, node.table, klog.Background()).Run(node.ctx)
	go node.Run(node.ctx)
}

func (c *cluster) makeNode(name string, engines []*testEngine) *testNode {
	c.t.Helper()
	logger := klog.Background()
	table := directory.NewTable("node", c.regions[name], regions, logger)
	c.configure(table, 1)
	var replicas []*directory.Replica
	for number, engine := range engines {
		id := fmt.Sprintf("engine-%d", number)
		replicas = append(replicas, &directory.Replica{
			ID: id, Service: "engines", Address: engine.address, Zone: c.regions[id], Slots: 8, State: directory.ReplicaReady,
		})
	}
	table.SetReplicas(replicas, 0)
	ctx, cancel := context.WithCancel(context.Background())
	c.t.Cleanup(cancel)
	node := &testNode{ctx: ctx, cancel: cancel}
	dispatcher := dispatch.New(exchange.NewPool(nil), testHeaders{}, nil)
	self := jobstore.Owner{Node: name, Address: name, Incarnation: uint64(time.Now().UnixNano())}
	node.table = peering.NewTable(peering.Config{
		Node: name, Address: name, Zone: c.regions[name], Incarnation: self.Incarnation, Store: c.store, Peers: link{c.peers, name}, Logger: logger,
		FillHeartbeat: func(heartbeat *wire.NodeBeat) { node.FillHeartbeat(heartbeat) }, OnHeartbeat: func(heartbeat *wire.NodeBeat) { node.ReceiveHeartbeat(heartbeat) },
		HeartbeatTargets: func() []string { return node.Watchers() }, MaxBroadcastPeers: c.maxBroadcastPeers,
	})
	node.Service = NewService(ctx, Config{
		Clock: clock.Monotonic,
		Self:  self, JobStore: jobstore.New(gatedStore{c.store, &c.gate}), Codec: testCodec{}, Directory: table, Dispatcher: dispatcher,
		Forwarder: forward.New(forward.Config{Directory: table, Dispatcher: dispatcher, Logger: logger, Metrics: forward.NewMetrics(prometheus.NewRegistry())}),
		Peers:     link{c.peers, name}, PeerTable: node.table, Region: c.regions[name], Logger: logger, Registry: prometheus.NewRegistry(),
	})
	c.peers.mutex.Lock()
	c.peers.services[name] = node
	c.peers.mutex.Unlock()
	c.nodes = append(c.nodes, node)
	return node
}

// configure sets a version of the cluster's configuration at a node.
func (c *cluster) configure(table *directory.Table, version uint64) {
	table.SetConfiguration(&directory.Configuration{
		Version: version,
		Routes: []directory.Route{{
			Name: testRoute, Host: "drafts.example", Prefix: "/d/", Kind: directory.RouteBatch, Attempts: 3,
			Targets: []directory.Target{{Service: "engines", Weight: 1}}, AllowedRegions: c.allowedRegions,
		}},
		Services: map[string]directory.Service{"engines": {Name: "engines"}},
	}, version)
}

// setGate delays the nodes' calls of a verb on a kind until the gate is opened.
func (c *cluster) setGate(verb, kind string) *gate {
	created := &gate{verb: verb, kind: kind, open: make(chan struct{})}
	c.gate.Store(created)
	return created
}

func (c *cluster) setDisconnected(name string, disconnected bool) {
	c.peers.mutex.Lock()
	defer c.peers.mutex.Unlock()
	c.peers.disconnected[name] = disconnected
}

// submission returns a job with items in groups of two.
func submission(id string, items int) (*Submission, []byte) {
	created := &Submission{Model: "m", MinVersion: 1}
	for number := range items {
		itemID := fmt.Sprintf("%s.%d", id, number)
		created.Items = append(created.Items, &Item{
			ID: itemID, Target: "/d/x", Header: http.Header{headerID: {itemID}}, Body: []byte("body of " + itemID), Group: fmt.Sprint(number / 2),
		})
	}
	encoded, err := json.Marshal(created)
	if err != nil {
		panic(err)
	}
	return created, encoded
}

// submit makes a node accept a job and run it itself.
func (c *cluster) submit(node *testNode, id string, items int) error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	submitted, payload := submission(id, items)
	return node.submitLocally(ctx, &SubmitRequest{ID: id, Route: testRoute, Host: "drafts.example", Payload: payload, Submission: submitted})
}

// eventually waits until a condition holds and fails the test after a timeout.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("timed out waiting until %s", what)
}

// readAll reads a job from a node until all results are listed.
func (c *cluster) readAll(node *testNode, id string, total int) []jobstore.Result {
	c.t.Helper()
	var results []jobstore.Result
	eventually(c.t, "all results are listed", func() bool {
		page, err := node.Read(context.Background(), id, len(results), 100*time.Millisecond)
		if err != nil {
			return false
		}
		results = append(results, page.Results...)
		return len(results) >= total
	})
	return results
}

// checkResults checks that each item has one result with its complete text.
func checkResults(t *testing.T, id string, results []jobstore.Result, items, events int) {
	t.Helper()
	seen := map[string]bool{}
	for _, result := range results {
		if seen[result.ID] {
			t.Errorf("item %s is listed twice", result.ID)
		}
		seen[result.ID] = true
		want := ""
		for number := 1; number <= events; number++ {
			if number > 1 {
				want += "\n"
			}
			want += fmt.Sprintf("%s.%d", result.ID, number)
		}
		if result.State != jobstore.Succeeded || result.Text != want {
			t.Errorf("item %s: %s with text %q, want %q", result.ID, result.State, result.Text, want)
		}
	}
	if len(seen) != items {
		t.Errorf("job %s: %d items listed, want %d", id, len(seen), items)
	}
}
