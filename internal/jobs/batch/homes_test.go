package batch

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/callers/forward"
	"github.com/pathtally/pathtally/internal/jobs/jobstore"
	"github.com/pathtally/pathtally/internal/jobs/ownership"
	"github.com/pathtally/pathtally/internal/replicas/directory"
	"github.com/pathtally/pathtally/internal/store/objectstore"
	"github.com/pathtally/pathtally/internal/wire"
	"github.com/pathtally/pathtally/standin/metastore"
)

// newRegionalCluster returns a cluster with a node in each region of nodes and an engine
// in each region of engines.
func newRegionalCluster(t *testing.T, allowedRegions, nodes, engines []string, started ...*testEngine) *cluster {
	t.Helper()
	c := &cluster{t: t, store: metastore.New(), peers: &testPeers{services: map[string]*testNode{}, disconnected: map[string]bool{}}, regions: map[string]string{}, allowedRegions: allowedRegions}
	for number, region := range engines {
		c.regions[fmt.Sprintf("engine-%d", number)] = region
	}
	for number, region := range nodes {
		name := fmt.Sprintf("node-%d", number)
		c.regions[name] = region
		c.addNode(name, started)
	}
	eventually(t, "all nodes know each other", func() bool {
		for _, node := range c.nodes {
			if len(node.table.NodeNames()) != len(c.nodes) || !node.Recovered() {
				return false
			}
		}
		return true
	})
	return c
}

// submitFromRegion submits a job like a caller that is connected to the node.
func (c *cluster) submitFromRegion(node *testNode, id string, items int) error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	submitted, payload := submission(id, items)
	return node.Submit(ctx, &SubmitRequest{ID: id, Route: testRoute, Host: "drafts.example", Entry: node.config.Region, Payload: payload, Submission: submitted})
}

// readCounter is a store that counts the reads of each kind.
type readCounter struct {
	objectstore.Store
	mutex sync.Mutex
	reads map[string]int
}

func (r *readCounter) Get(ctx context.Context, kind, name string, freshness objectstore.Freshness) (objectstore.Object, error) {
	r.mutex.Lock()
	r.reads[kind]++
	r.mutex.Unlock()
	return r.Store.Get(ctx, kind, name, freshness)
}

func (r *readCounter) count(kind string) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.reads[kind]
}

// countReads counts a node's reads from now on.
func (c *cluster) countReads(node *testNode) *readCounter {
	counter := &readCounter{Store: c.store, reads: map[string]int{}}
	node.mutex.Lock()
	defer node.mutex.Unlock()
	node.config.JobStore = jobstore.New(counter)
	return counter
}

func (n *testNode) holds(id string) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.jobs[id] != nil
}

func (e *testEngine) itemsRun() int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return len(e.runs)
}

// A job must be run by a node in its allowed regions or its entry region, and its items
// by replicas in the allowed regions, whatever the nodes' ranks.
func TestJobsStayInAllowedRegions(t *testing.T) {
	outside, inside := startEngine(t, 1), startEngine(t, 1)
	c := newRegionalCluster(t, []string{"south"}, []string{"north", "west", "west", "west", "south"}, []string{"north", "south"}, outside, inside)
	for number := range 6 {
		id := fmt.Sprintf("job-%d", number)
		if err := c.submitFromRegion(c.nodes[0], id, 2); err != nil {
			t.Fatal(err)
		}
		checkResults(t, id, c.readAll(c.nodes[4], id, 2), 2, 1)
		for _, node := range c.nodes {
			if region := node.config.Region; region == "west" && node.holds(id) {
				t.Errorf("%s is run by a node in the west", id)
			}
		}
	}
	if outside.itemsRun() > 0 {
		t.Errorf("the replica outside the allowed regions ran %d items", outside.itemsRun())
	}
}

// A node outside the allowed regions must not take over a job or read its payload,
// however long the job has no owner.
func TestJobWaitsForNodeInAllowedRegions(t *testing.T) {
	engine := newHoldingEngine(t)
	c := newRegionalCluster(t, []string{"south"}, []string{"south", "west", "west"}, []string{"south"}, engine)
	if err := c.submitFromRegion(c.nodes[0], "job", 4); err != nil {
		t.Fatal(err)
	}
	reads := []*readCounter{c.countReads(c.nodes[1]), c.countReads(c.nodes[2])}
	c.nodes[0].cancel()
	c.setDisconnected("node-0", true)
	time.Sleep(ownership.OwnerTimeout + ownership.UnwatchedDelay + time.Second)
	for number, node := range c.nodes[1:] {
		if node.holds("job") || reads[number].count(jobstore.KindPayloads) > 0 {
			t.Errorf("node outside the allowed regions: runs the job %v, payloads read %d", node.holds("job"), reads[number].count(jobstore.KindPayloads))
		}
		node.mutex.Lock()
		if !node.remoteJobs["job"].noSuccessorLogged {
			t.Error("a job without a possible successor is not logged")
		}
		node.mutex.Unlock()
	}
	c.regions["node-3"] = "south"
	inside := c.addNode("node-3", []*testEngine{engine})
	eventually(t, "the node in the allowed region runs the job", func() bool { return inside.holds("job") })
	engine.release()
	checkResults(t, "job", c.readAll(inside, "job", 4), 4, 3)
	checkResults(t, "job", c.readAll(c.nodes[1], "job", 4), 4, 3)
	c.nodes[1].mutex.Lock()
	defer c.nodes[1].mutex.Unlock()
	if kept := len(c.nodes[1].remoteJobs["job"].results); kept > 0 {
		t.Errorf("a node outside the allowed regions caches %d results", kept)
	}
}

// Nodes outside the allowed regions must not delay a takeover by ranking before those
// inside.
func TestWatchersRankedWithinAllowedRegions(t *testing.T) {
	engine := newHoldingEngine(t)
	c := newRegionalCluster(t, []string{"south"}, []string{"north", "west", "west", "west", "west", "west", "west", "south"}, []string{"south"}, engine)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	submitted, payload := submission("job", 2)
	owner, watcher := c.nodes[0], c.nodes[7]
	request := &SubmitRequest{ID: "job", Route: testRoute, Host: "drafts.example", Entry: "north", Payload: payload, Submission: submitted}
	if err := owner.submitLocally(ctx, request); err != nil {
		t.Fatal(err)
	}
	if watchers := owner.Watchers(); len(watchers) != 1 || watchers[0] != "node-7" {
		t.Errorf("watchers %v, want node-7", watchers)
	}
	eventually(t, "the watcher knows the job's origin", func() bool {
		watcher.mutex.Lock()
		defer watcher.mutex.Unlock()
		return watcher.remoteJobs["job"] != nil && watcher.remoteJobs["job"].origin != nil
	})
	watcher.mutex.Lock()
	if rank := watcher.cachedRank("job", watcher.remoteJobs["job"]); rank != 0 {
		t.Errorf("the only node in the allowed region has rank %d, want 0", rank)
	}
	watcher.mutex.Unlock()
	owner.Leave()
	eventually(t, "the job is handed over", func() bool { return watcher.holds("job") })
	engine.release()
}

func TestJobWithoutReplicaWritesNothing(t *testing.T) {
	engine := startEngine(t, 1)
	c := newRegionalCluster(t, []string{"atlantis"}, []string{"north", "south"}, []string{"south"}, engine)
	err := c.submitFromRegion(c.nodes[0], "job", 2)
	var notAccepted *jobstore.NotAcceptedError
	if !errors.As(err, &notAccepted) || !errors.Is(err, forward.ErrNoReplicaInAllowedRegions) {
		t.Errorf("error %v, want a NotAcceptedError with cause ErrNoReplicaInAllowedRegions", err)
	}
	for _, kind := range []string{jobstore.KindJobs, jobstore.KindPayloads} {
		if page, err := c.store.List(context.Background(), kind, "", objectstore.Linearizable); err != nil || len(page.Objects) > 0 {
			t.Errorf("%s: %d objects, want none, error %v", kind, len(page.Objects), err)
		}
	}
	if engine.itemsRun() > 0 {
		t.Error("an item of a rejected job ran")
	}
}

// A node whose configuration does not allow it a job must reject the job when a node with
// another configuration submits it.
func TestRunnerRejectsJobOutsideItsRegions(t *testing.T) {
	c := newRegionalCluster(t, []string{"south"}, []string{"west"}, []string{"south"}, startEngine(t, 1))
	_, payload := submission("job", 2)
	var reply wire.Message
	c.nodes[0].handleSubmit(&wire.JobSubmit{Job: "job", Route: testRoute, Host: "drafts.example", Payload: payload, Entry: "north"}, func(message wire.Message) { reply = message })
	if submitted := reply.(*wire.JobSubmitted); submitted.Outcome != wire.OutcomeNotRun || c.nodes[0].holds("job") {
		t.Errorf("outcome %d, detail %s, want OutcomeNotRun and no job", submitted.Outcome, submitted.Detail)
	}
}

// A change of the allowed regions must apply to items that start or are continued after
// it, and leave running ones alone.
func TestRegionChangeAppliesToNextRuns(t *testing.T) {
	former, next := newHoldingEngine(t), startEngine(t, 3)
	former.breakAt = 2
	c := newRegionalCluster(t, []string{"south"}, []string{"north"}, []string{"south", "west"}, former, next)
	if err := c.submitFromRegion(c.nodes[0], "job", 12); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the replica in the former region is full", func() bool { return former.itemsRun() == 8 })
	c.allowedRegions = []string{"west"}
	c.configure(c.nodes[0].config.Directory, 2)
	c.nodes[0].WakeScheduler()
	eventually(t, "the other items run in the new region", func() bool { return next.itemsRun() >= 4 })
	if next.itemsRun() > 4 {
		t.Errorf("%d items run in the new region while 8 run in the former one", next.itemsRun())
	}
	former.release()
	checkResults(t, "job", c.readAll(c.nodes[0], "job", 12), 12, 3)
	former.mutex.Lock()
	defer former.mutex.Unlock()
	for id, runs := range former.runs {
		if runs > 1 {
			t.Errorf("%s was continued in the former region", id)
		}
	}
}

// A record without an entry region is bound by the allowed regions alone.
func TestRecordWithoutEntryRegion(t *testing.T) {
	c := newRegionalCluster(t, []string{"south"}, []string{"north", "south"}, []string{"south"}, startEngine(t, 1))
	from := originOf(jobstore.Record{Route: testRoute})
	for number, inside := range []bool{false, true} {
		if got := c.nodes[number].regionBounds(from).AllowsNode(c.nodes[number].config.Region); got != inside {
			t.Errorf("node in the %s allowed: %v", c.nodes[number].config.Region, got)
		}
	}
	if c.nodes[0].regionBounds(origin{routes: []string{"dropped"}, entryRegion: "north"}).AllowsNode("south") {
		t.Error("a job of a removed route may leave its entry region")
	}
}

// A node that has no configuration yet must not take jobs over.
func TestNoTakeoverWithoutConfiguration(t *testing.T) {
	started := &Service{config: Config{Region: "north", Directory: directory.NewTable("node", "north", regions, klog.Background())}}
	from := originOf(jobstore.Record{Route: testRoute, EntryRegion: "north"})
	if started.regionBounds(from).AllowsNode("north") || !started.isOutsideAllowedRegions(&remoteJob{origin: &from}) {
		t.Error("a node without a configuration may have the job")
	}
}
