package batch

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/pathtally/pathtally/internal/jobs/jobstore"
	"github.com/pathtally/pathtally/internal/jobs/ownership"
	"github.com/pathtally/pathtally/standin/metastore"
)

// newLargeCluster returns a cluster in which starts and ends of jobs are not announced to
// all nodes.
func newLargeCluster(t *testing.T, nodes int, engines ...*testEngine) *cluster {
	t.Helper()
	large := &cluster{t: t, store: metastore.New(), peers: &testPeers{services: map[string]*testNode{}, disconnected: map[string]bool{}}, maxBroadcastPeers: 1}
	for number := range nodes {
		large.addUnjoinedNode(fmt.Sprintf("node-%d", number), engines)
	}
	for _, node := range large.nodes {
		eventually(t, "all nodes know each other", func() bool { return len(node.table.NodeNames()) == nodes })
	}
	return large
}

// nodesKnowing returns the nodes that know of a job.
func (c *cluster) nodesKnowing(id string) []*testNode {
	var knowing []*testNode
	for _, node := range c.nodes {
		node.mutex.Lock()
		if node.jobs[id] != nil || node.remoteJobs[id] != nil {
			knowing = append(knowing, node)
		}
		node.mutex.Unlock()
	}
	return knowing
}

// nodeNotKnowing returns a node that does not know of a job.
func (c *cluster) nodeNotKnowing(id string) *testNode {
	c.t.Helper()
	knowing := c.nodesKnowing(id)
	for _, node := range c.nodes {
		if !slices.Contains(knowing, node) {
			return node
		}
	}
	c.t.Fatal("all nodes know of the job")
	return nil
}

// A job must be readable and endable at nodes that got no announcement of it, without
// asking the store.
func TestReadAndEndAtUnannouncedNode(t *testing.T) {
	engine := startEngine(t, 3)
	large := newLargeCluster(t, 2*ownership.Locators, engine)
	if err := large.submit(large.nodes[0], "job", 4); err != nil {
		t.Fatal(err)
	}
	eventually(t, "locators know of the job", func() bool { return len(large.nodesKnowing("job")) > ownership.Locators/2 })
	if announced := len(large.nodesKnowing("job")); announced > ownership.Locators+1 {
		t.Errorf("%d nodes got the announcement, want at most %d", announced, ownership.Locators+1)
	}
	reads := large.store.Calls("get")
	checkResults(t, "job", large.readAll(large.nodeNotKnowing("job"), "job", 4), 4, 3)
	if calls := large.store.Calls("get") - reads; calls > 0 {
		t.Errorf("%d reads of the store for a job that other nodes know", calls)
	}
	if err := large.nodeNotKnowing("job").End(context.Background(), "job"); err != nil {
		t.Fatal(err)
	}
	for _, node := range large.nodes {
		node.mutex.Lock()
		held := node.jobs["job"]
		if held != nil && !held.ended {
			t.Errorf("%s still runs the job", node.config.Self.Node)
		}
		node.mutex.Unlock()
	}
}

// A job that no node knows must be looked up in the store before it counts as not
// existing.
func TestUnknownJobIsLookedUpInStore(t *testing.T) {
	large := newLargeCluster(t, 2*ownership.Locators, startEngine(t, 3))
	if _, err := large.nodes[3].Read(context.Background(), "none", 0, 0); !errors.Is(err, jobstore.ErrNoSuchJob) {
		t.Errorf("read of an unknown job: error %v", err)
	}
}

// If no locator can be reached, the store must be asked who runs the job.
func TestReadWithUnreachableLocators(t *testing.T) {
	engine := startEngine(t, 3)
	large := newLargeCluster(t, 2*ownership.Locators, engine)
	if err := large.submit(large.nodes[0], "job", 4); err != nil {
		t.Fatal(err)
	}
	eventually(t, "locators know of the job", func() bool { return len(large.nodesKnowing("job")) > ownership.Locators/2 })
	reader := large.nodeNotKnowing("job")
	for _, node := range large.nodesKnowing("job") {
		node.mutex.Lock()
		runs := node.jobs["job"] != nil
		node.mutex.Unlock()
		if !runs {
			large.setDisconnected(node.config.Self.Node, true)
		}
	}
	began := time.Now()
	checkResults(t, "job", large.readAll(reader, "job", 4), 4, 3)
	if took := time.Since(began); took > 5*time.Second {
		t.Errorf("read took %s", took)
	}
}

// The number of nodes that get announcements must not grow with the deployment.
func TestLocatorCountIndependentOfNodes(t *testing.T) {
	for _, nodes := range []int{2 * ownership.Locators, 4 * ownership.Locators} {
		large := newLargeCluster(t, nodes, startEngine(t, 3))
		if announced := len(large.nodes[0].locatorsOf("job")); announced != ownership.Locators {
			t.Errorf("%d locators among %d nodes", announced, nodes)
		}
	}
}
