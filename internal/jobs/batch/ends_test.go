package batch

import (
	"context"
	"testing"
	"time"

	"github.com/pathtally/pathtally/internal/jobs/jobstore"
	"github.com/pathtally/pathtally/internal/wire"
	"github.com/pathtally/pathtally/standin/metastore"
)

// Symptom: items of a batch job reached replicas for more than three seconds after
// the job's end had been acknowledged.
//
// Sequence: all nodes are killed. The new process of the job's owner takes the job
// over and reads its payload and results, which takes about a second while the store
// comes back. The caller ends the job: the end is recorded and told to all nodes.
// Then the owner has read everything and starts the job.
//
// Cause: an end could stop only a job that was held. The one that was being read was
// not, and starting it threw away the note that its end had left; only the look at
// the record three seconds later found it.
//
// Settled by the owner's log, the same in four plays: "batch job taken over" at
// 34.74 s, the end acknowledged at 34.78, "batch job started" at 35.50, "batch job
// ended" at 38.71, one period of the look at the record later.
func TestAJobEndedWhileItIsTakenOverIsNotRun(t *testing.T) {
	for _, test := range []struct {
		name string
		// deaf has the successor hear nothing of the other nodes meanwhile.
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

// loseOwner has the first node run a job and die, and returns the node that takes the
// job over and another one. The successor owns the job in its record, and is held
// back by the gate before it has read the results.
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

// runCount counts the runs that have begun.
func (e *testEngine) runCount() int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	count := 0
	for _, runs := range e.runs {
		count += runs
	}
	return count
}

// A job may be ended before the node that accepts it knows that it has: the store
// has made the record, and its answer is still on the way when another node, to which
// the caller sent the job as well, says that it is accepted.
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
	// The end is told to all nodes once; that takes some microseconds here.
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

// Symptom: a result that a caller had read was gone: a node showed one result fewer
// than had been read, twenty seconds after the job's end.
//
// Sequence: the caller ends the job while an append of results is on its way into the
// store. The owner stands still for five seconds; a caller reads the job at another
// node, which reads the store. Then the owner goes on, finds that it still owns the
// job, and answers reads from memory.
//
// Cause: the end cut the append off and its outcome, unknown, was taken for "not
// done". The store had done it, so the owner's memory lacked a chunk for good.
//
// Settled by the owner's log: "batch job ended" at 18.918 s with 51 results listed of
// 52, 8 chunks, appending; "results not appended", chunk 8, 0.2 ms later; 52 results
// in 9 chunks read from the store by two other nodes at 31 s; none at position 51 by
// way of the owner at 41 s. No other node ever owned the job.
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

// unlistedResults is a cluster of two nodes, the first of which runs a job with two
// results that wait to be listed.
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

// readBesideOwner reads the job at the second node while the first one is not to be
// reached, and returns how many results it shows.
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

// awaitOwnersAnswer waits until the first node answers for the job from memory.
func (c *cluster) awaitOwnersAnswer() {
	c.t.Helper()
	eventually(c.t, "the owner answers from memory", func() bool {
		_, held := c.nodes[0].readHeld(context.Background(), "job", 0, 0)
		return held
	})
}

// checkNothingGone checks that each node that answers shows what has been read.
func (c *cluster) checkNothingGone(when string, read int) {
	c.t.Helper()
	for _, node := range c.nodes {
		page, err := node.Read(context.Background(), "job", 0, 0)
		if err == nil && len(page.Results) < read {
			c.t.Errorf("%s: %s shows %d results, %d had been read", when, node.config.Self.Node, len(page.Results), read)
		}
	}
}

// An end that is heard of between the last look at a job's record and its start keeps
// the job from being started, and is made lasting.
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
