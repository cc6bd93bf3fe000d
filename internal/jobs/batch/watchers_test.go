package batch

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/pathtally/pathtally/internal/cluster/peering"
	"github.com/pathtally/pathtally/internal/jobs/ownership"
	"github.com/pathtally/pathtally/standin/metastore"
)

// splitByWatching splits the nodes other than a job's owner into its watchers and the
// others.
func (c *cluster) splitByWatching(id string, owner *testNode) (watching, others []*testNode) {
	for _, node := range c.nodes {
		if node == owner {
			continue
		}
		if node.isNotWatcher(id) {
			others = append(others, node)
		} else {
			watching = append(watching, node)
		}
	}
	return watching, others
}

// expireHeartbeat sets the last heartbeat of a job's owner to long ago.
func (n *testNode) expireHeartbeat(id string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.remoteJobs[id].lastHeartbeat = time.Now().Add(-time.Minute)
}

// newWatchedCluster returns a cluster with more nodes than a job has watchers, whose first
// node runs a job that all nodes know of.
func newWatchedCluster(t *testing.T, engine *testEngine) (c *cluster, watching, others []*testNode) {
	t.Helper()
	c = newCluster(t, ownership.Watchers+4, engine)
	owner := c.nodes[0]
	eventually(t, "all nodes know each other", func() bool {
		for _, node := range c.nodes {
			if len(node.table.NodeNames()) != len(c.nodes) {
				return false
			}
		}
		return true
	})
	if err := c.submit(owner, "job", 6); err != nil {
		t.Fatal(err)
	}
	eventually(t, "all nodes know of the job", func() bool {
		for _, node := range c.nodes[1:] {
			if _, known := node.knownOwner("job"); !known {
				return false
			}
		}
		return true
	})
	watching, others = c.splitByWatching("job", owner)
	if len(watching) != ownership.Watchers || len(others) != 3 {
		t.Fatalf("%d watchers and %d other nodes", len(watching), len(others))
	}
	return c, watching, others
}

func TestWatchersReceiveHeartbeats(t *testing.T) {
	engine := newHoldingEngine(t)
	cluster, watching, _ := newWatchedCluster(t, engine)
	defer engine.release()
	for _, node := range watching {
		node.mutex.Lock()
		node.remoteJobs["job"].lastHeartbeat = time.Time{}
		node.mutex.Unlock()
	}
	cluster.nodes[0].table.SendHeartbeat()
	gotHeartbeat := func(node *testNode) bool {
		node.mutex.Lock()
		defer node.mutex.Unlock()
		remote := node.remoteJobs["job"]
		return remote != nil && time.Since(remote.lastHeartbeat) < time.Minute
	}
	for _, node := range watching {
		eventually(t, "a watcher gets the owner's heartbeat", func() bool { return gotHeartbeat(node) })
	}
}

// A node that is not a watcher must ask the owner before it takes a job over.
func TestNonWatcherProbesOwner(t *testing.T) {
	engine := newHoldingEngine(t)
	cluster, _, others := newWatchedCluster(t, engine)
	defer engine.release()
	for _, node := range others {
		node.expireHeartbeat("job")
	}
	for _, node := range others {
		eventually(t, "the owner has replied", func() bool {
			node.mutex.Lock()
			defer node.mutex.Unlock()
			return time.Since(node.remoteJobs["job"].lastHeartbeat) < time.Minute
		})
	}
	if owner := cluster.owner("job"); owner != cluster.nodes[0] {
		t.Error("the job was taken over from a running owner")
	}
}

// A job must be taken over even if its owner and all its watchers fail at once.
func TestTakeoverWithoutWatchers(t *testing.T) {
	engine := newHoldingEngine(t)
	cluster, watching, others := newWatchedCluster(t, engine)
	for _, node := range append(watching, cluster.nodes[0]) {
		node.cancel()
		cluster.setDisconnected(node.config.Self.Node, true)
	}
	for _, node := range others {
		node.expireHeartbeat("job")
	}
	eventually(t, "a node that is not a watcher owns the job", func() bool {
		for _, node := range others {
			node.mutex.Lock()
			held := node.jobs["job"] != nil
			node.mutex.Unlock()
			if held {
				return true
			}
		}
		return false
	})
	engine.release()
	checkResults(t, "job", cluster.readAll(others[0], "job", 6), 6, 3)
}

func TestDemandIsMeanOfJobs(t *testing.T) {
	// Heartbeats contain open jobs only, so the jobs are kept open and the nodes know
	// each other before. The first node runs the jobs itself, since the expected lengths
	// are not in the payload.
	engine := newHoldingEngine(t)
	defer engine.release()
	cluster := newCluster(t, 2, engine)
	cluster.nodesByRank()
	for number, tokens := range []float64{100, 300} {
		created, payload := submission(fmt.Sprintf("job-%d", number), 2)
		for _, submitted := range created.Items {
			submitted.ExpectedTokens = tokens
		}
		if err := cluster.nodes[0].submitLocally(context.Background(), &SubmitRequest{ID: fmt.Sprintf("job-%d", number), Route: testRoute, Host: "drafts.example", Payload: payload, Submission: created}); err != nil {
			t.Fatal(err)
		}
	}
	for _, node := range cluster.nodes {
		eventually(t, "the demand of both jobs is known", func() bool { return node.Demand().MeanTokens["m"] == 400 })
	}
}

// A node's rank for a job must be computed without the current owner.
func TestCachedRankFollowsOwner(t *testing.T) {
	engine := newHoldingEngine(t)
	cluster, watching, _ := newWatchedCluster(t, engine)
	defer engine.release()
	node := watching[0]
	node.mutex.Lock()
	defer node.mutex.Unlock()
	remote := node.remoteJobs["job"]
	for _, owner := range cluster.nodes {
		if owner == node {
			continue
		}
		node.learnRemote("job", owner.config.Self, 0, false)
		if got, want := node.cachedRank("job", remote), node.rank("job", &remoteJob{owner: owner.config.Self}); got != want {
			t.Errorf("owner %s: rank %d, want %d", owner.config.Self.Node, got, want)
		}
	}
}

// A node whose entry the store rejects must still learn of the jobs.
func TestUnjoinedNodeLearnsOfJobs(t *testing.T) {
	engine := newHoldingEngine(t)
	defer engine.release()
	cluster := newCluster(t, 1, engine)
	if err := cluster.submit(cluster.nodes[0], "job", 2); err != nil {
		t.Fatal(err)
	}
	cluster.store.SetFault(func(call metastore.Call) metastore.Fault {
		if call.Kind == peering.NodeKind {
			return metastore.Refused
		}
		return metastore.NoFault
	})
	unjoined := cluster.addUnjoinedNode("outsider", []*testEngine{engine})
	eventually(t, "the job is known", func() bool {
		_, known := unjoined.knownOwner("job")
		return known && unjoined.Recovered()
	})
	if unjoined.table.Joined() {
		t.Error("the node has joined")
	}
}

// isNotWatcher reports whether this node knows of a job and is not one of its watchers.
func (s *Service) isNotWatcher(id string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	remote := s.remoteJobs[id]
	return remote != nil && s.cachedRank(id, remote) >= ownership.Watchers
}
