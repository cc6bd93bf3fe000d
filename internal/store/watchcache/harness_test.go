package watchcache

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/clock"
	"github.com/pathtally/pathtally/internal/environment"
	"github.com/pathtally/pathtally/internal/store/objectstore"
	"github.com/pathtally/pathtally/internal/wire"
	"github.com/pathtally/pathtally/standin/metastore"
)

const (
	testKind = "replicas"
	// storeTimeout is how long a client waits for the store.
	storeTimeout = 1500 * time.Millisecond
)

// cuttableStore is one node's connection to the store, which a test can cut.
type cuttableStore struct {
	*metastore.Store
	cut atomic.Bool
	// loseNextWatch makes the store lose the next watch response, and only that.
	loseNextWatch atomic.Bool
	// servedCalls counts the lists and watches that reach the store.
	servedCalls atomic.Int64
	// allCalls counts all calls, including those without a response.
	allCalls atomic.Int64
}

// checkCut counts a call and makes it fail after storeTimeout if the connection is cut.
func (s *cuttableStore) checkCut(ctx context.Context) error {
	s.allCalls.Add(1)
	if !s.cut.Load() {
		return nil
	}
	objectstore.Sleep(ctx, storeTimeout)
	return &objectstore.UnansweredError{Cause: metastore.ErrFault}
}

func (s *cuttableStore) List(ctx context.Context, kind, after string, freshness objectstore.Freshness) (objectstore.Page, error) {
	if err := s.checkCut(ctx); err != nil {
		return objectstore.Page{}, err
	}
	s.servedCalls.Add(1)
	return s.Store.List(ctx, kind, after, freshness)
}

func (s *cuttableStore) Get(ctx context.Context, kind, name string, freshness objectstore.Freshness) (objectstore.Object, error) {
	if err := s.checkCut(ctx); err != nil {
		return objectstore.Object{}, err
	}
	return s.Store.Get(ctx, kind, name, freshness)
}

// Watch loses its response if the connection is cut by then, or if loseNextWatch is set.
func (s *cuttableStore) Watch(ctx context.Context, kind string, from uint64, wait time.Duration) (objectstore.Changes, error) {
	if err := s.checkCut(ctx); err != nil {
		return objectstore.Changes{}, err
	}
	s.servedCalls.Add(1)
	changes, err := s.Store.Watch(ctx, kind, from, wait)
	if s.cut.Load() || s.loseNextWatch.CompareAndSwap(true, false) {
		objectstore.Sleep(ctx, wait)
		return objectstore.Changes{}, &objectstore.UnansweredError{Cause: metastore.ErrFault}
	}
	return changes, err
}

// recordingSink is a sink that keeps the objects.
type recordingSink struct {
	mutex       sync.Mutex
	objects     map[string]objectstore.Object
	afterOutage bool
}

func (r *recordingSink) Replace(objects []objectstore.Object, afterOutage bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.objects, r.afterOutage = map[string]objectstore.Object{}, afterOutage
	for _, object := range objects {
		r.objects[object.Name] = object
	}
}

func (r *recordingSink) Apply(changes []objectstore.Change, afterOutage bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.afterOutage = afterOutage
	for _, change := range changes {
		if change.Deleted {
			delete(r.objects, change.Object.Name)
			continue
		}
		r.objects[change.Object.Name] = change.Object
	}
}

// spec returns the spec of an object, empty if the sink doesn't have it.
func (r *recordingSink) spec(name string) string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return string(r.objects[name].Spec)
}

// testNode is a source with its connection to the store and its sink.
type testNode struct {
	node   Node
	store  *cuttableStore
	source *Source
	sink   *recordingSink
	// dead nodes reply to nobody.
	dead atomic.Bool
	// pollsWhileDead counts the polls of this node since it was killed.
	pollsWhileDead atomic.Int64
	stop           context.CancelFunc
}

// cluster is a number of nodes with one store, on a fake clock.
type cluster struct {
	t     *testing.T
	store *metastore.Store
	nodes []*testNode
	// regions holds the region of each zone. disconnected cuts the links between regions.
	regions      map[string]string
	disconnected atomic.Bool
}

// connected reports whether one node can send messages to another.
func (c *cluster) connected(from, to Node) bool {
	return !c.disconnected.Load() || c.regions[from.Zone] == c.regions[to.Zone]
}

// link is a node's connection to the others.
type link struct {
	cluster *cluster
	node    Node
}

func (link) Send(string, wire.Message)        {}
func (link) Broadcast([]string, wire.Message) {}

func (l link) Call(address string, message wire.Message, timeout time.Duration, done func(wire.Message, error)) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		for _, node := range l.cluster.nodes {
			if node.node.Address == address && node.dead.Load() {
				node.pollsWhileDead.Add(1)
			}
			if node.node.Address == address && !node.dead.Load() && l.cluster.connected(l.node, node.node) {
				reply := node.source.HandlePoll(ctx, message.(*wire.WatchPoll))
				if !node.dead.Load() && ctx.Err() == nil {
					done(reply, nil)
					return
				}
			}
		}
		<-ctx.Done()
		done(nil, environment.ErrPeerUnreachable)
	}()
}

// withCluster runs a test with the given number of nodes in one zone, all joined.
func withCluster(t *testing.T, count int, test func(*cluster)) {
	withZones(t, count, nil, test)
}

// withZones runs a test with the given number of nodes in each zone of the regions, or in a
// single zone if there are none.
func withZones(t *testing.T, count int, regions map[string]string, test func(*cluster)) {
	zones := slices.Sorted(maps.Keys(regions))
	if len(zones) == 0 {
		zones = []string{"zone"}
	}
	synctest.Test(t, func(t *testing.T) {
		cluster := &cluster{t: t, store: metastore.New(), regions: regions}
		cluster.store.Write(testKind, "first", 1)
		for number := range count * len(zones) {
			cluster.add(number, zones[number%len(zones)])
		}
		for _, node := range cluster.nodes {
			ctx, cancel := context.WithCancel(t.Context())
			node.stop = cancel
			go node.source.Run(ctx)
		}
		advance(2 * time.Second)
		test(cluster)
		for _, node := range cluster.nodes {
			node.stop()
		}
		advance(2 * time.Minute)
	})
}

func (c *cluster) add(number int, zone string) {
	node := &testNode{
		node:  Node{Name: fmt.Sprintf("node-%d", number), Address: fmt.Sprintf("address-%d", number), Zone: zone},
		store: &cuttableStore{Store: c.store}, sink: &recordingSink{},
	}
	node.source = NewSource(Config{
		Clock: clock.Monotonic,
		Self:  node.node, Regions: c.regions, Store: node.store, Peers: link{cluster: c, node: node.node}, Nodes: c.listNodes, JoinAttempted: func() bool { return true },
		ProbeKind: "nodes", ProbeName: node.node.Name, Logger: klog.Background(), Registry: prometheus.NewRegistry(),
	})
	node.source.Add(testKind, node.sink, ShortWatchTimeout)
	c.nodes = append(c.nodes, node)
}

func (c *cluster) listNodes() []Node {
	var nodes []Node
	for _, node := range c.nodes {
		nodes = append(nodes, node.node)
	}
	return nodes
}

// readers returns the nodes that read the store now.
func (c *cluster) readers() []*testNode {
	var readers []*testNode
	for _, node := range c.nodes {
		if node.source.isCurrent() {
			readers = append(readers, node)
		}
	}
	return readers
}

// followers returns the live nodes that don't read the store now.
func (c *cluster) followers() []*testNode {
	var followers []*testNode
	for _, node := range c.nodes {
		if !node.source.isCurrent() && !node.dead.Load() {
			followers = append(followers, node)
		}
	}
	return followers
}

// waitFor checks that the nodes get an object's content within the given time.
func (c *cluster) waitFor(nodes []*testNode, name, want string, timeout time.Duration) {
	c.t.Helper()
	start := time.Now()
	for _, node := range nodes {
		for node.sink.spec(name) != want {
			if time.Since(start) > timeout {
				c.t.Errorf("%s has spec %q of %s after %s, want %q", node.node.Name, node.sink.spec(name), name, timeout, want)
				break
			}
			advance(10 * time.Millisecond)
		}
	}
}

// advance advances the fake clock and waits until all goroutines are blocked.
func advance(duration time.Duration) {
	time.Sleep(duration)
	synctest.Wait()
}
