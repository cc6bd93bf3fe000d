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
func TestJobEndedDuringTakeoverNotRun(t *testing.T) {
	for _, test := range []struct {
		name string
		// disconnected disconnects the successor from the other nodes when the job is
		// ended.
		disconnected bool
	}{
		{"successor gets the end", false},
		{"successor disconnected", true},
	} {
		t.Run(test.name, func(t *testing.T) {
			engine := newHoldingEngine(t)
			cluster := newCluster(t, 3, engine)
			successor, other := cluster.killOwner(engine)
			before := engine.runCount()
			cluster.setDisconnected(successor.config.Self.Address, test.disconnected)
			if err := other.End(context.Background(), "job"); err != nil {
				t.Fatal(err)
			}
			eventually(t, "a connected successor knows of the end", func() bool {
				successor.mutex.Lock()
				defer successor.mutex.Unlock()
				remote := successor.remoteJobs["job"]
				return test.disconnected || (remote != nil && remote.ended)
			})
			close(cluster.gate.Load().open)
			eventually(t, "the takeover is over", func() bool {
				successor.mutex.Lock()
				defer successor.mutex.Unlock()
				remote := successor.remoteJobs["job"]
				return successor.jobs["job"] != nil || (remote != nil && !remote.takingOver)
			})
			successor.mutex.Lock()
			held := successor.jobs["job"]
			if held != nil && held.open() {
				t.Error("the job was started after its end")
			}
			successor.mutex.Unlock()
			time.Sleep(2 * scanInterval)
			if after := engine.runCount(); after != before {
				t.Errorf("%d runs started after the end", after-before)
			}
		})
	}
}

// killOwner runs a job on the first node, stops that node, and returns the node that
// takes the job over and the third one. The gate keeps the successor, which owns the job
// by its record, from reading the results.
func (c *cluster) killOwner(engine *testEngine) (successor, other *testNode) {
	c.t.Helper()
	if err := c.submit(c.nodes[0], "job", 6); err != nil {
		c.t.Fatal(err)
	}
	eventually(c.t, "all items are running", func() bool { return engine.runCount() == 6 })
	gate := c.setGate("list", jobstore.KindResults)
	c.nodes[0].cancel()
	c.setDisconnected("node-0", true)
	eventually(c.t, "a successor reads the results", func() bool { return gate.reached.Load() > 0 })
	stored, err := jobstore.New(c.store).Read(context.Background(), "job")
	if err != nil {
		c.t.Fatal(err)
	}
	successor, other = c.nodes[1], c.nodes[2]
	if stored.Record.Owner.Node != successor.config.Self.Node {
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
func TestJobEndedDuringAcceptanceNotRun(t *testing.T) {
	engine := newHoldingEngine(t)
	cluster := newCluster(t, 2, engine)
	gate := cluster.setGate("create", jobstore.KindJobs)
	accepted := make(chan error, 1)
	go func() { accepted <- cluster.submit(cluster.nodes[0], "job", 6) }()
	eventually(t, "the record is created", func() bool { return gate.reached.Load() > 0 })
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
		t.Errorf("%d runs started after the end", runs)
	}
}

// Guards against an owner that lacks a result which a reader has got, because the job
// ended while the result was being appended.
func TestOwnerKeepsResultsReadFromStore(t *testing.T) {
	t.Run("append response delayed", func(t *testing.T) {
		cluster, held := newUnlistedResultsCluster(t)
		gate := cluster.setGate("create", jobstore.KindResults)
		held.requestFlush()
		eventually(t, "the append is pending", func() bool { return gate.reached.Load() > 0 })
		cluster.endAtOwner()
		read := cluster.readWithoutOwner()
		cluster.checkResultsKept("while the append is pending", read)
		close(gate.open)
		cluster.awaitOwnerServesReads()
		cluster.checkResultsKept("after the append response", read)
	})
	t.Run("append response lost", func(t *testing.T) {
		cluster, held := newUnlistedResultsCluster(t)
		cluster.store.SetFault(func(call metastore.Call) metastore.Fault {
			if call.Kind == jobstore.KindResults && call.Verb == "create" {
				return metastore.ResponseLost
			}
			return metastore.NoFault
		})
		held.requestFlush()
		eventually(t, "the results are in the store", func() bool { return cluster.store.Has(jobstore.KindResults, jobstore.ChunkName("job", 0)) })
		cluster.endAtOwner()
		read := cluster.readWithoutOwner()
		cluster.checkResultsKept("while appends get no response", read)
		cluster.store.SetFault(nil)
		cluster.awaitOwnerServesReads()
		cluster.checkResultsKept("once appends get responses", read)
	})
}

// newUnlistedResultsCluster returns a cluster of two nodes, the first of which runs a job
// with two finished results that are not appended yet.
func newUnlistedResultsCluster(t *testing.T) (*cluster, *job) {
	t.Helper()
	engine := newHoldingEngine(t)
	t.Cleanup(engine.release)
	c := newCluster(t, 2, engine)
	owner := c.nodes[0]
	if err := c.submit(owner, "job", 6); err != nil {
		t.Fatal(err)
	}
	owner.mutex.Lock()
	defer owner.mutex.Unlock()
	held := owner.jobs["job"]
	for _, item := range []string{"job.0", "job.1"} {
		held.markDone(item)
		held.finished = append(held.finished, jobstore.Result{ID: item, State: jobstore.Abandoned})
	}
	return c, held
}

// endAtOwner ends the job at the first node.
func (c *cluster) endAtOwner() {
	c.t.Helper()
	if err := c.nodes[0].End(context.Background(), "job"); err != nil {
		c.t.Fatal(err)
	}
}

// readWithoutOwner reads the job at the second node while the first one is unreachable,
// and returns the number of results.
func (c *cluster) readWithoutOwner() int {
	c.t.Helper()
	c.setDisconnected("node-0", true)
	defer c.setDisconnected("node-0", false)
	page, err := c.nodes[1].Read(context.Background(), "job", 0, 0)
	if err != nil || len(page.Results) != 2 {
		c.t.Fatalf("%d results read from the store, want 2, error %v", len(page.Results), err)
	}
	return len(page.Results)
}

// awaitOwnerServesReads waits until the first node serves the job from memory.
func (c *cluster) awaitOwnerServesReads() {
	c.t.Helper()
	eventually(c.t, "the owner serves reads from memory", func() bool {
		_, held := c.nodes[0].readHeld(context.Background(), "job", 0, 0)
		return held
	})
}

// checkResultsKept checks that every node that can read the job returns at least as many
// results as were read before.
func (c *cluster) checkResultsKept(when string, read int) {
	c.t.Helper()
	for _, node := range c.nodes {
		page, err := node.Read(context.Background(), "job", 0, 0)
		if err == nil && len(page.Results) < read {
			c.t.Errorf("%s: %s returns %d results, %d were read before", when, node.config.Self.Node, len(page.Results), read)
		}
	}
}

// Guards against starting a job whose end arrived after its record was last read, and
// against losing that end.
func TestEndBeforeStartPreventsStart(t *testing.T) {
	engine := newHoldingEngine(t)
	defer engine.release()
	cluster := newCluster(t, 1, engine)
	node := cluster.nodes[0]
	submitted, payload := submission("job", 6)
	record := jobstore.Record{Owner: node.config.Self, Epoch: 1, Route: testRoute, Host: "drafts.example", AcceptedMs: time.Now().UnixMilli()}
	if _, _, err := node.config.JobStore.Accept(context.Background(), "job", record, payload); err != nil {
		t.Fatal(err)
	}
	node.ReceiveHeartbeat(&wire.NodeBeat{Node: "node-9", Address: "node-9", Incarnation: 1, Ended: []string{"job"}})
	node.start("job", submitted, record, jobstore.Listing{}, time.Now())
	if node.OpenJobCount() != 0 || engine.runCount() != 0 {
		t.Errorf("%d open jobs and %d runs of a job that has ended", node.OpenJobCount(), engine.runCount())
	}
	eventually(t, "the store has the end", func() bool {
		stored, err := jobstore.New(cluster.store).Read(context.Background(), "job")
		return err == nil && stored.Ended
	})
}
