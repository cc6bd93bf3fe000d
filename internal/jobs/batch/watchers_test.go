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

// watched splits the nodes other than the owner of a job into those that hear
// its heartbeats and those that do not.
func (c *cluster) watched(id string, owner *testNode) (watching, others []*testNode) {
	for _, node := range c.nodes {
		if node == owner {
			continue
		}
		if node.isUnwatched(id) {
			others = append(others, node)
		} else {
			watching = append(watching, node)
		}
	}
	return watching, others
}

// age has a node believe that it heard of a job long ago.
func (n *testNode) age(id string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.remoteJobs[id].lastHeartbeat = time.Now().Add(-time.Minute)
}

// watchedCluster is a cluster with more nodes than watch over one job, which
// runs on the first node and which all have heard of.
func watchedCluster(t *testing.T, engine *testEngine) (made *cluster, watching, others []*testNode) {
	t.Helper()
	made = newCluster(t, ownership.Watchers+4, engine)
	owner := made.nodes[0]
	eventually(t, "all nodes know each other", func() bool {
		for _, node := range made.nodes {
			if len(node.table.NodeNames()) != len(made.nodes) {
				return false
			}
		}
		return true
	})
	if err := made.submit(owner, "job", 6); err != nil {
		t.Fatal(err)
	}
	eventually(t, "all nodes have heard of the job", func() bool {
		for _, node := range made.nodes[1:] {
			if _, known := node.knownOwner("job"); !known {
				return false
			}
		}
		return true
	})
	watching, others = made.watched("job", owner)
	if len(watching) != ownership.Watchers || len(others) != 3 {
		t.Fatalf("%d nodes watch and %d do not", len(watching), len(others))
	}
	return made, watching, others
}

func TestOwnersTellTheirWatchers(t *testing.T) {
	engine := heldEngine(t)
	cluster, watching, _ := watchedCluster(t, engine)
	defer engine.release()
	for _, node := range watching {
		node.mutex.Lock()
		node.remoteJobs["job"].lastHeartbeat = time.Time{}
		node.mutex.Unlock()
	}
	cluster.nodes[0].table.SendHeartbeat()
	heard := func(node *testNode) bool {
		node.mutex.Lock()
		defer node.mutex.Unlock()
		standing := node.remoteJobs["job"]
		return standing != nil && time.Since(standing.lastHeartbeat) < time.Minute
	}
	for _, node := range watching {
		eventually(t, "a watcher hears the owner", func() bool { return heard(node) })
	}
}

// A node that hears no heartbeats must not take a living owner's job over.
func TestAnUnwatchedJobIsLeftToAnOwnerThatAnswers(t *testing.T) {
	engine := heldEngine(t)
	cluster, _, others := watchedCluster(t, engine)
	defer engine.release()
	for _, node := range others {
		node.age("job")
	}
	for _, node := range others {
		eventually(t, "the owner has been asked", func() bool {
			node.mutex.Lock()
			defer node.mutex.Unlock()
			return time.Since(node.remoteJobs["job"].lastHeartbeat) < time.Minute
		})
	}
	if owner := cluster.owner("job"); owner != cluster.nodes[0] {
		t.Error("the job was taken over from a living owner")
	}
}

// The owner and all its watchers may go at once.
func TestAJobWithoutOwnerAndWatchersIsTakenOver(t *testing.T) {
	engine := heldEngine(t)
	cluster, watching, others := watchedCluster(t, engine)
	for _, node := range append(watching, cluster.nodes[0]) {
		node.cancel()
		cluster.setCut(node.config.Self.Node, true)
	}
	for _, node := range others {
		node.age("job")
	}
	eventually(t, "a node that did not watch owns the job", func() bool {
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
	checkWhole(t, "job", cluster.readAll(others[0], "job", 6), 6, 3)
}

func TestDemandIsTheMeanWorkOfAModelsJobs(t *testing.T) {
	// Heartbeats tell of open jobs alone: these stay open, and the nodes know each
	// other before. The first node runs them itself: the payload does not hold the
	// lengths that another would read from it.
	engine := heldEngine(t)
	defer engine.release()
	cluster := newCluster(t, 2, engine)
	cluster.byRank()
	for number, tokens := range []float64{100, 300} {
		made, payload := submission(fmt.Sprintf("job-%d", number), 2)
		for _, submitted := range made.Items {
			submitted.ExpectedTokens = tokens
		}
		if err := cluster.nodes[0].submitHere(context.Background(), &Arrival{ID: fmt.Sprintf("job-%d", number), Route: testRoute, Host: "drafts.example", Payload: payload, Submission: made}); err != nil {
			t.Fatal(err)
		}
	}
	for _, node := range cluster.nodes {
		eventually(t, "the demand of both jobs is known", func() bool { return node.Demand().MeanTokens["m"] == 400 })
	}
}

// The rank of a node for a job leaves out the job's owner, whoever that is.
func TestRanksFollowTheOwner(t *testing.T) {
	engine := heldEngine(t)
	cluster, watching, _ := watchedCluster(t, engine)
	defer engine.release()
	node := watching[0]
	node.mutex.Lock()
	defer node.mutex.Unlock()
	standing := node.remoteJobs["job"]
	for _, next := range cluster.nodes {
		if next == node {
			continue
		}
		node.learnRemote("job", next.config.Self, 0, false)
		if got, want := node.cachedRank("job", standing), node.rank("job", &remoteJob{owner: next.config.Self}); got != want {
			t.Errorf("owned by %s: rank %d, want %d", next.config.Self.Node, got, want)
		}
	}
}

// A node whose entry the store does not take learns of the jobs all the same.
func TestANodeThatCannotJoinLearnsOfTheJobs(t *testing.T) {
	engine := heldEngine(t)
	defer engine.release()
	cluster := newCluster(t, 1, engine)
	if err := cluster.submit(cluster.nodes[0], "job", 2); err != nil {
		t.Fatal(err)
	}
	cluster.store.SetFault(func(call metastore.Call) metastore.Fault {
		if call.Kind == peering.NodeKind {
			return metastore.Refused
		}
		return metastore.Sound
	})
	outsider := cluster.addOutsider("outsider", []*testEngine{engine})
	eventually(t, "the job is known", func() bool {
		_, known := outsider.knownOwner("job")
		return known && outsider.Recovered()
	})
	if outsider.table.Joined() {
		t.Error("the node has joined")
	}
}

// isUnwatched tells whether a node hears no heartbeats of a job's owner.
func (s *Service) isUnwatched(id string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	remote := s.remoteJobs[id]
	return remote != nil && s.cachedRank(id, remote) >= ownership.Watchers
}
