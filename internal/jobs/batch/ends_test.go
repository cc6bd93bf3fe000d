package batch

import (
	"context"
	"testing"
	"time"

	"github.com/pathtally/pathtally/internal/jobs/jobstore"
	"github.com/pathtally/pathtally/internal/wire"
	"github.com/pathtally/pathtally/standin/metastore"
)

// Guards against items that run after the end of their job because the end arrived while
// the job was being loaded.
func TestAJobEndedWhileItIsTakenOverIsNotRun(t *testing.T) {
	for _, test := range []struct {
		name string
		// deaf disconnects the successor from the other nodes when the job is ended.
		deaf bool
	}{
		{"the successor hears of the end", false},
		{"the successor hears nothing", true},
	} {
		t.Run(test.name, func(t *testing.T) {
			engine := heldEngine(t)
			cluster := newCluster(t, 3, engine)
			successor, other := cluster.loseOwner(engine)
			begun := engine.runCount()
			cluster.setCut(successor.config.Self.Address, test.deaf)
			if err := other.End(context.Background(), "job"); err != nil {
				t.Fatal(err)
			}
			eventually(t, "a node that hears of the end knows of it", func() bool {
				successor.mutex.Lock()
				defer successor.mutex.Unlock()
				standing := successor.remoteJobs["job"]
				return test.deaf || (standing != nil && standing.ended)
			})
			close(cluster.gate.Load().open)
			eventually(t, "the takeover has come to its end", func() bool {
				successor.mutex.Lock()
				defer successor.mutex.Unlock()
				standing := successor.remoteJobs["job"]
				return successor.jobs["job"] != nil || (standing != nil && !standing.takingOver)
			})
			successor.mutex.Lock()
			held := successor.jobs["job"]
			if held != nil && held.open() {
				t.Error("the job has been started after its end")
			}
			successor.mutex.Unlock()
			time.Sleep(2 * scanInterval)
			if again := engine.runCount(); again != begun {
				t.Errorf("%d runs began after the end", again-begun)
			}
		})
	}
}

// loseOwner runs a job on the first node, stops that node, and returns the node that
// takes the job over and the third one. The gate keeps the successor, which owns the job
// by its record, from reading the results.
func (c *cluster) loseOwner(engine *testEngine) (successor, other *testNode) {
	c.t.Helper()
	if err := c.submit(c.nodes[0], "job", 6); err != nil {
		c.t.Fatal(err)
	}
	eventually(c.t, "all items run", func() bool { return engine.runCount() == 6 })
	gate := c.setGate("list", jobstore.KindResults)
	c.nodes[0].cancel()
	c.setCut("node-0", true)
	eventually(c.t, "a successor reads the results", func() bool { return gate.reached.Load() > 0 })
	standing, err := jobstore.New(c.store).Read(context.Background(), "job")
	if err != nil {
		c.t.Fatal(err)
	}
	successor, other = c.nodes[1], c.nodes[2]
	if standing.Record.Owner.Node != successor.config.Self.Node {
		successor, other = other, successor
	}
	return successor, other
}

// runCount returns the number of runs started.
func (e *testEngine) runCount() int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	count := 0
	for _, runs := range e.runs {
		count += runs
	}
	return count
}

// Guards against items that run after the end of their job because the job was ended at
// another node while the response to its create was delayed.
func TestAJobEndedWhileItIsAcceptedIsNotRun(t *testing.T) {
	engine := heldEngine(t)
	cluster := newCluster(t, 2, engine)
	gate := cluster.setGate("create", jobstore.KindJobs)
	accepted := make(chan error, 1)
	go func() { accepted <- cluster.submit(cluster.nodes[0], "job", 6) }()
	eventually(t, "the record is made", func() bool { return gate.reached.Load() > 0 })
	cluster.gate.Store(nil)
	if err := cluster.nodes[1].End(context.Background(), "job"); err != nil {
		t.Fatal(err)
	}
	// The heartbeat that announces the end needs some time to arrive.
	time.Sleep(scanInterval)
	close(gate.open)
	if err := <-accepted; err != nil {
		t.Fatal(err)
	}
	time.Sleep(2 * scanInterval)
	if runs := engine.runCount(); runs != 0 {
		t.Errorf("%d runs began after the end", runs)
	}
}

// Guards against a result that a reader has seen missing at the owner because the job
// ended while the result was being appended.
func TestAResultReadFromTheStoreStaysAtItsOwner(t *testing.T) {
	t.Run("the append's answer is late", func(t *testing.T) {
		cluster, held := unlistedResults(t)
		gate := cluster.setGate("create", jobstore.KindResults)
		held.flushLater()
		eventually(t, "the results are on their way", func() bool { return gate.reached.Load() > 0 })
		cluster.endAtOwner()
		read := cluster.readBesideOwner()
		cluster.checkNothingGone("while the append has no answer", read)
		close(gate.open)
		cluster.awaitOwnersAnswer()
		cluster.checkNothingGone("once the append has an answer", read)
	})
	t.Run("the append's answer is lost", func(t *testing.T) {
		cluster, held := unlistedResults(t)
		cluster.store.SetFault(func(call metastore.Call) metastore.Fault {
			if call.Kind == jobstore.KindResults && call.Verb == "create" {
				return metastore.Unanswered
			}
			return metastore.Sound
		})
		held.flushLater()
		eventually(t, "the results are in the store", func() bool { return cluster.store.Has(jobstore.KindResults, jobstore.ChunkName("job", 0)) })
		cluster.endAtOwner()
		read := cluster.readBesideOwner()
		cluster.checkNothingGone("while no append is answered", read)
		cluster.store.SetFault(nil)
		cluster.awaitOwnersAnswer()
		cluster.checkNothingGone("once appends are answered", read)
	})
}

// unlistedResults returns a cluster of two nodes, the first of which runs a job with two
// finished results that are not appended yet.
func unlistedResults(t *testing.T) (*cluster, *job) {
	t.Helper()
	engine := heldEngine(t)
	t.Cleanup(engine.release)
	made := newCluster(t, 2, engine)
	owner := made.nodes[0]
	if err := made.submit(owner, "job", 6); err != nil {
		t.Fatal(err)
	}
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	held := owner.jobs["job"]
	for _, item := range []string{"job.0", "job.1"} {
		held.settle(item)
		held.finished = append(held.finished, jobstore.Result{ID: item, State: jobstore.Abandoned})
	}
	return made, held
}

// endAtOwner ends the job at the first node.
func (c *cluster) endAtOwner() {
	c.t.Helper()
	if err := c.nodes[0].End(context.Background(), "job"); err != nil {
		c.t.Fatal(err)
	}
}

// readBesideOwner reads the job at the second node while the first one is unreachable,
// and returns the number of results.
func (c *cluster) readBesideOwner() int {
	c.t.Helper()
	c.setCut("node-0", true)
	defer c.setCut("node-0", false)
	page, err := c.nodes[1].Read(context.Background(), "job", 0, 0)
	if err != nil || len(page.Results) != 2 {
		c.t.Fatalf("%d results in the store, error %v", len(page.Results), err)
	}
	return len(page.Results)
}

// awaitOwnersAnswer waits until the first node serves the job from memory.
func (c *cluster) awaitOwnersAnswer() {
	c.t.Helper()
	eventually(c.t, "the owner answers from memory", func() bool {
		_, held := c.nodes[0].readHeld(context.Background(), "job", 0, 0)
		return held
	})
}

// checkNothingGone checks that every node that can read the job returns at least as many
// results as were read before.
func (c *cluster) checkNothingGone(when string, read int) {
	c.t.Helper()
	for _, node := range c.nodes {
		page, err := node.Read(context.Background(), "job", 0, 0)
		if err == nil && len(page.Results) < read {
			c.t.Errorf("%s: %s shows %d results, %d had been read", when, node.config.Self.Node, len(page.Results), read)
		}
	}
}

// Guards against starting a job whose end arrived after its record was last read, and
// against losing that end.
func TestAnEndHeardOfAfterTheLastLookKeepsAJobFromItsStart(t *testing.T) {
	engine := heldEngine(t)
	defer engine.release()
	cluster := newCluster(t, 1, engine)
	node := cluster.nodes[0]
	made, payload := submission("job", 6)
	record := jobstore.Record{Owner: node.config.Self, Epoch: 1, Route: testRoute, Host: "drafts.example", AcceptedMs: time.Now().UnixMilli()}
	if _, _, err := node.config.JobStore.Accept(context.Background(), "job", record, payload); err != nil {
		t.Fatal(err)
	}
	node.ReceiveHeartbeat(&wire.NodeBeat{Node: "node-9", Address: "node-9", Incarnation: 1, Ended: []string{"job"}})
	node.start("job", made, record, jobstore.Listing{}, time.Now())
	if node.OpenJobs() != 0 || engine.runCount() != 0 {
		t.Errorf("%d jobs and %d runs of a job that has ended", node.OpenJobs(), engine.runCount())
	}
	eventually(t, "the store has the end", func() bool {
		standing, err := jobstore.New(cluster.store).Read(context.Background(), "job")
		return err == nil && standing.Ended
	})
}
