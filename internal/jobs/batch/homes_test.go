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

// spread returns a cluster with a node in each of some regions and an engine in each
// of others, before a route with homes.
func spread(t *testing.T, homes, nodes, engines []string, started ...*testEngine) *cluster {
	t.Helper()
	c := &cluster{t: t, store: metastore.New(), peers: &testPeers{services: map[string]*testNode{}, cut: map[string]bool{}}, places: map[string]string{}, homes: homes}
	for number, region := range engines {
		c.places[fmt.Sprintf("engine-%d", number)] = region
	}
	for number, region := range nodes {
		name := fmt.Sprintf("node-%d", number)
		c.places[name] = region
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

// handFrom hands a job to a node as a caller does that is connected to it.
func (c *cluster) handFrom(node *testNode, id string, items int) error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	made, payload := submission(id, items)
	return node.Submit(ctx, &Arrival{ID: id, Route: testRoute, Host: "drafts.example", Entry: node.config.Region, Payload: payload, Submission: made})
}

// recorder is a store that records the kinds which a node reads.
type recorder struct {
	objectstore.Store
	mutex sync.Mutex
	read  map[string]int
}

func (r *recorder) Get(ctx context.Context, kind, name string, freshness objectstore.Freshness) (objectstore.Object, error) {
	r.mutex.Lock()
	r.read[kind]++
	r.mutex.Unlock()
	return r.Store.Get(ctx, kind, name, freshness)
}

func (r *recorder) count(kind string) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.read[kind]
}

// record has a node's reads recorded from now on.
func (c *cluster) record(node *testNode) *recorder {
	made := &recorder{Store: c.store, read: map[string]int{}}
	node.mutex.Lock()
	defer node.mutex.Unlock()
	node.config.JobStore = jobstore.New(made)
	return made
}

func (n *testNode) runs(id string) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.jobs[id] != nil
}

func (e *testEngine) total() int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return len(e.runs)
}

// Whoever is first in rank for the model, a job goes to nodes in its homes or in the
// region through which it came, and its items go to replicas in the homes.
func TestJobsAreHandedToNodesInsideOnly(t *testing.T) {
	outside, home := startEngine(t, 1), startEngine(t, 1)
	c := spread(t, []string{"south"}, []string{"north", "west", "west", "west", "south"}, []string{"north", "south"}, outside, home)
	for number := range 6 {
		id := fmt.Sprintf("job-%d", number)
		if err := c.handFrom(c.nodes[0], id, 2); err != nil {
			t.Fatal(err)
		}
		checkWhole(t, id, c.readAll(c.nodes[4], id, 2), 2, 1)
		for _, node := range c.nodes {
			if region := node.config.Region; region == "west" && node.runs(id) {
				t.Errorf("%s is run in the west", id)
			}
		}
	}
	if outside.total() > 0 {
		t.Errorf("the engine outside ran %d items", outside.total())
	}
}

// The owner dies. A node outside takes nothing over and reads no payload, however long
// the job waits; the first one inside that comes does.
func TestAJobWaitsForANodeInside(t *testing.T) {
	engine := heldEngine(t)
	c := spread(t, []string{"south"}, []string{"south", "west", "west"}, []string{"south"}, engine)
	if err := c.handFrom(c.nodes[0], "job", 4); err != nil {
		t.Fatal(err)
	}
	reads := []*recorder{c.record(c.nodes[1]), c.record(c.nodes[2])}
	c.nodes[0].cancel()
	c.setCut("node-0", true)
	time.Sleep(ownership.OwnerTimeout + ownership.UnwatchedDelay + time.Second)
	for number, node := range c.nodes[1:] {
		if node.runs("job") || reads[number].count(jobstore.KindPayloads) > 0 {
			t.Errorf("a node outside runs the job: %v, and has read %d payloads", node.runs("job"), reads[number].count(jobstore.KindPayloads))
		}
		node.mutex.Lock()
		if !node.remoteJobs["job"].waitLogged {
			t.Error("nothing is said of a job that waits")
		}
		node.mutex.Unlock()
	}
	c.places["node-3"] = "south"
	inside := c.addNode("node-3", []*testEngine{engine})
	eventually(t, "the node inside runs the job", func() bool { return inside.runs("job") })
	engine.release()
	checkWhole(t, "job", c.readAll(inside, "job", 4), 4, 3)
	checkWhole(t, "job", c.readAll(c.nodes[1], "job", 4), 4, 3)
	c.nodes[1].mutex.Lock()
	defer c.nodes[1].mutex.Unlock()
	if kept := len(c.nodes[1].remoteJobs["job"].results); kept > 0 {
		t.Errorf("a node outside keeps %d results", kept)
	}
}

// Watchers are told by rank among the nodes inside, so that a takeover is no later for
// the nodes outside that rank before them.
func TestWatchersAreRankedAmongTheNodesInside(t *testing.T) {
	engine := heldEngine(t)
	c := spread(t, []string{"south"}, []string{"north", "west", "west", "west", "west", "west", "west", "south"}, []string{"south"}, engine)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	made, payload := submission("job", 2)
	owner, watcher := c.nodes[0], c.nodes[7]
	arrival := &Arrival{ID: "job", Route: testRoute, Host: "drafts.example", Entry: "north", Payload: payload, Submission: made}
	if err := owner.submitHere(ctx, arrival); err != nil {
		t.Fatal(err)
	}
	if watchers := owner.Watchers(); len(watchers) != 1 || watchers[0] != "node-7" {
		t.Errorf("watchers are %v", watchers)
	}
	eventually(t, "the watcher has heard of the job", func() bool {
		watcher.mutex.Lock()
		defer watcher.mutex.Unlock()
		return watcher.remoteJobs["job"] != nil && watcher.remoteJobs["job"].origin != nil
	})
	watcher.mutex.Lock()
	if rank := watcher.cachedRank("job", watcher.remoteJobs["job"]); rank != 0 {
		t.Errorf("the only node inside has rank %d", rank)
	}
	watcher.mutex.Unlock()
	owner.Leave()
	eventually(t, "the job is handed over", func() bool { return watcher.runs("job") })
	engine.release()
}

func TestJobsWithoutAHomeAreRefusedBeforeAnythingIsWritten(t *testing.T) {
	engine := startEngine(t, 1)
	c := spread(t, []string{"atlantis"}, []string{"north", "south"}, []string{"south"}, engine)
	err := c.handFrom(c.nodes[0], "job", 2)
	var notTaken *jobstore.NotAcceptedError
	if !errors.As(err, &notTaken) || !errors.Is(err, forward.ErrNoReplicaInAllowedRegions) {
		t.Errorf("the job: %v", err)
	}
	for _, kind := range []string{jobstore.KindJobs, jobstore.KindPayloads} {
		if page, err := c.store.List(context.Background(), kind, "", objectstore.Linearizable); err != nil || len(page.Objects) > 0 {
			t.Errorf("%s: %d objects, %v", kind, len(page.Objects), err)
		}
	}
	if engine.total() > 0 {
		t.Error("an item of a refused job ran")
	}
}

// A node that knows another configuration hands a job on; the runner refuses what it
// may not have by its own.
func TestARunnerRefusesWhatItMayNotHave(t *testing.T) {
	c := spread(t, []string{"south"}, []string{"west"}, []string{"south"}, startEngine(t, 1))
	_, payload := submission("job", 2)
	var reply wire.Message
	c.nodes[0].answerSubmit(&wire.JobSubmit{Job: "job", Route: testRoute, Host: "drafts.example", Payload: payload, Entry: "north"}, func(message wire.Message) { reply = message })
	if submitted := reply.(*wire.JobSubmitted); submitted.Outcome != wire.OutcomeNotRun || c.nodes[0].runs("job") {
		t.Errorf("outcome %d, %s", submitted.Outcome, submitted.Detail)
	}
}

// The homes change while items run: those go on, the next ones obey, and so do those
// that are continued.
func TestAChangeOfHomesBindsTheNextItems(t *testing.T) {
	former, next := heldEngine(t), startEngine(t, 3)
	former.cutAt = 2
	c := spread(t, []string{"south"}, []string{"north"}, []string{"south", "west"}, former, next)
	if err := c.handFrom(c.nodes[0], "job", 12); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the former home is full", func() bool { return former.total() == 8 })
	c.homes = []string{"west"}
	c.configure(c.nodes[0].config.Directory, 2)
	c.nodes[0].WakeScheduler()
	eventually(t, "the others run in the new home", func() bool { return next.total() >= 4 })
	if next.total() > 4 {
		t.Errorf("%d items went to the new home while 8 ran in the former one", next.total())
	}
	former.release()
	checkWhole(t, "job", c.readAll(c.nodes[0], "job", 12), 12, 3)
	former.mutex.Lock()
	defer former.mutex.Unlock()
	for id, runs := range former.runs {
		if runs > 1 {
			t.Errorf("%s was continued in the former home", id)
		}
	}
}

// A job from before there were homes names no entry region: only the homes bind it.
func TestAnOldRecordIsBoundToItsHomes(t *testing.T) {
	c := spread(t, []string{"south"}, []string{"north", "south"}, []string{"south"}, startEngine(t, 1))
	from := originOf(jobstore.Record{Route: testRoute})
	for number, inside := range []bool{false, true} {
		if got := c.nodes[number].boundsOf(from).AllowsNode(c.nodes[number].config.Region); got != inside {
			t.Errorf("node in the %s: %v", c.nodes[number].config.Region, got)
		}
	}
	if c.nodes[0].boundsOf(origin{routes: []string{"dropped"}, entry: "north"}).AllowsNode("south") {
		t.Error("a job of a route that is dropped leaves the region through which it came")
	}
}

// A node that has just started may not know the configuration yet.
func TestANodeWithoutAConfigurationTakesNothingOver(t *testing.T) {
	started := &Service{config: Config{Region: "north", Directory: directory.NewTable("node", "north", regions, klog.Background())}}
	from := originOf(jobstore.Record{Route: testRoute, EntryRegion: "north"})
	if started.boundsOf(from).AllowsNode("north") || !started.isOutsider(&remoteJob{origin: &from}) {
		t.Error("it takes itself for one that may have the job")
	}
}
