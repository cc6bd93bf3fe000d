package batch

import (
	"context"
	"testing"
	"time"

	"github.com/pathtally/pathtally/internal/jobs/jobstore"
)

// newEndedCluster returns a cluster whose first node ran and ended a job, and has no
// memory of it, as after a restart.
func newEndedCluster(t *testing.T) *cluster {
	t.Helper()
	engine := startEngine(t, 2)
	c := newCluster(t, 3, engine)
	if err := c.submit(c.nodes[0], "job", 4); err != nil {
		t.Fatal(err)
	}
	c.readAll(c.nodes[0], "job", 4)
	if err := c.nodes[0].End(context.Background(), "job"); err != nil {
		t.Fatal(err)
	}
	c.nodes[0].mutex.Lock()
	delete(c.nodes[0].jobs, "job")
	c.nodes[0].mutex.Unlock()
	return c
}

// awaitSeal waits until a node knows that its results of the job are final.
func (c *cluster) awaitSeal(node *testNode) {
	c.t.Helper()
	eventually(c.t, "the ended job is sealed", func() bool {
		_, final := node.readSealed("job", 0)
		return final
	})
}

func (c *cluster) storeReads() int { return c.store.Calls("get") + c.store.Calls("list") }

func TestEndedJobIsReadFromStoreByOwnerOnly(t *testing.T) {
	cluster := newEndedCluster(t)
	if _, err := cluster.nodes[0].Read(context.Background(), "job", 0, 0); err != nil {
		t.Fatal(err)
	}
	cluster.awaitSeal(cluster.nodes[0])
	before := cluster.storeReads()
	for _, node := range cluster.nodes {
		for after := range 4 {
			page, err := node.Read(context.Background(), "job", after, 0)
			if err != nil || page.Total != 4 || len(page.Results) != 4-after {
				t.Fatalf("after %d: %d results of %d, error %v", after, len(page.Results), page.Total, err)
			}
		}
	}
	if calls := cluster.storeReads() - before; calls != 0 {
		t.Errorf("%d reads of the store, want none", calls)
	}
}

// An append of a former owner that comes after an ended job was read must fail.
func TestAppendAfterSealFails(t *testing.T) {
	cluster := newEndedCluster(t)
	first, err := cluster.nodes[0].Read(context.Background(), "job", 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	cluster.awaitSeal(cluster.nodes[0])
	stored := jobstore.New(cluster.store)
	listed, err := stored.Results(context.Background(), "job", 0)
	if err != nil || !listed.Sealed {
		t.Fatalf("results sealed: %v, error %v", listed.Sealed, err)
	}
	late := jobstore.Chunk{Writer: "late", Results: []jobstore.Result{{ID: "late", State: jobstore.Abandoned}}}
	chunk, own, err := stored.Append(context.Background(), "job", listed.Chunks-1, late)
	if err != nil || own || !chunk.Seal {
		t.Errorf("append after the seal: succeeded %v, chunk is the seal %v, error %v", own, chunk.Seal, err)
	}
	for _, node := range cluster.nodes {
		again, err := node.Read(context.Background(), "job", 0, 0)
		if err != nil || len(again.Results) != len(first.Results) {
			t.Errorf("%d results, then %d, error %v", len(first.Results), len(again.Results), err)
		}
	}
}

// An ended job must get one seal, however many nodes read it from the store.
func TestEndedJobIsSealedOnce(t *testing.T) {
	cluster := newEndedCluster(t)
	cluster.setDisconnected("node-0", true)
	before := cluster.store.Calls("create")
	for _, node := range cluster.nodes[1:] {
		if _, err := node.Read(context.Background(), "job", 0, 0); err != nil {
			t.Fatal(err)
		}
		cluster.awaitSeal(node)
	}
	if creates := cluster.store.Calls("create") - before; creates != 1 {
		t.Errorf("%d creates, want one seal", creates)
	}
}

// A successful append does not show that the job is open, so it must not delay the next
// check of its record.
func TestAppendDoesNotDelayRecordCheck(t *testing.T) {
	engine := newHoldingEngine(t)
	defer engine.release()
	cluster := newCluster(t, 1, engine)
	node := cluster.nodes[0]
	if err := cluster.submit(node, "job", 4); err != nil {
		t.Fatal(err)
	}
	confirmedAt := time.Now().Add(time.Hour)
	node.mutex.Lock()
	held := node.jobs["job"]
	held.confirmedAt = confirmedAt
	node.scheduler.finish(held.items["job.0"], jobstore.Result{ID: "job.0", State: jobstore.Abandoned})
	node.scheduler.finish(held.items["job.1"], jobstore.Result{ID: "job.1", State: jobstore.Abandoned})
	node.mutex.Unlock()
	eventually(t, "the results are appended", func() bool {
		node.mutex.Lock()
		defer node.mutex.Unlock()
		return len(held.listed) == 2
	})
	node.mutex.Lock()
	defer node.mutex.Unlock()
	if !held.confirmedAt.Equal(confirmedAt) {
		t.Error("the append counts as a read of the job's record")
	}
}

// Guards against a read of a stored job over a slow link that restarts whenever its
// reader times out, and never completes.
func TestLoadContinuesAfterReaderTimeout(t *testing.T) {
	cluster := newEndedCluster(t)
	gate := cluster.setGate("list", jobstore.KindResults)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	if _, err := cluster.nodes[0].Read(ctx, "job", 0, 0); err == nil {
		t.Fatal("read succeeded while the store delays the results")
	}
	close(gate.open)
	eventually(t, "the job is loaded", func() bool {
		cluster.nodes[0].mutex.Lock()
		defer cluster.nodes[0].mutex.Unlock()
		known := cluster.nodes[0].remoteJobs["job"]
		return known != nil && known.itemCount == 4 && len(known.results) == 4
	})
}

// Concurrent readers must share one read of the store.
func TestConcurrentReadersShareLoad(t *testing.T) {
	cluster := newEndedCluster(t)
	gate := cluster.setGate("list", jobstore.KindResults)
	node := cluster.nodes[0]
	lists := cluster.store.Calls("list")
	results := make(chan error, 20)
	for range cap(results) {
		go func() {
			page, err := node.Read(context.Background(), "job", 0, 0)
			if err == nil && len(page.Results) != 4 {
				err = jobstore.ErrTruncated
			}
			results <- err
		}()
	}
	eventually(t, "the load is in progress", func() bool {
		node.mutex.Lock()
		defer node.mutex.Unlock()
		return len(node.storedLoads) == 1
	})
	close(gate.open)
	for range cap(results) {
		if err := <-results; err != nil {
			t.Error(err)
		}
	}
	if calls := cluster.store.Calls("list") - lists; calls >= cap(results) {
		t.Errorf("%d listings for %d readers", calls, cap(results))
	}
}

// Guards against an incomplete read if the job is evicted meanwhile.
func TestJobEvictedDuringLoad(t *testing.T) {
	cluster := newEndedCluster(t)
	gate := cluster.setGate("list", jobstore.KindResults)
	node := cluster.nodes[0]
	type outcome struct {
		page Page
		err  error
	}
	outcomes := make(chan outcome)
	go func() {
		page, err := node.Read(context.Background(), "job", 0, 0)
		outcomes <- outcome{page, err}
	}()
	eventually(t, "the load is in progress", func() bool {
		node.mutex.Lock()
		defer node.mutex.Unlock()
		return len(node.storedLoads) == 1
	})
	node.mutex.Lock()
	delete(node.remoteJobs, "job")
	node.mutex.Unlock()
	close(gate.open)
	if got := <-outcomes; got.err != nil || got.page.Total != 4 || len(got.page.Results) != 4 {
		t.Errorf("%d results of %d, error %v", len(got.page.Results), got.page.Total, got.err)
	}
}
