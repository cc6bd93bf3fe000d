package batch

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pathtally/pathtally/internal/jobs/jobstore"
	"github.com/pathtally/pathtally/internal/store/objectstore"
	"github.com/pathtally/pathtally/standin/metastore"
)

// nodeStore is one node's connection to the store, on which a test can make creates or
// all other calls fail.
type ownWay struct {
	*metastore.Store
	cutCreates, cutOthers atomic.Bool
}

// cutAnswer is the time after which a disconnected call fails.
const cutAnswer = 50 * time.Millisecond

func pass(ctx context.Context, cut *atomic.Bool) error {
	if !cut.Load() {
		return nil
	}
	objectstore.Sleep(ctx, cutAnswer)
	return &objectstore.UnansweredError{Cause: metastore.ErrFault}
}

func (w *ownWay) List(ctx context.Context, kind, after string, freshness objectstore.Freshness) (objectstore.Page, error) {
	if err := pass(ctx, &w.cutOthers); err != nil {
		return objectstore.Page{}, err
	}
	return w.Store.List(ctx, kind, after, freshness)
}

func (w *ownWay) Get(ctx context.Context, kind, name string, freshness objectstore.Freshness) (objectstore.Object, error) {
	if err := pass(ctx, &w.cutOthers); err != nil {
		return objectstore.Object{}, err
	}
	return w.Store.Get(ctx, kind, name, freshness)
}

func (w *ownWay) Create(ctx context.Context, kind, name string, spec json.RawMessage) (objectstore.Object, error) {
	if err := pass(ctx, &w.cutCreates); err != nil {
		return objectstore.Object{}, err
	}
	return w.Store.Create(ctx, kind, name, spec)
}

// Guards against nodes that return different results of an ended job because an owner
// that did not know of the end appended one after others had read the job.
func TestResultsAreNotFinalWhileTheOwnerMayNotKnowOfTheEnd(t *testing.T) {
	engine := heldEngine(t)
	cluster := newCluster(t, 0)
	reader := cluster.addNode("node-1", []*testEngine{engine})
	owner := cluster.makeNode("node-0", []*testEngine{engine})
	way := &ownWay{Store: cluster.store}
	owner.config.JobStore = jobstore.New(way)
	owner.table.Join(owner.ctx)
	cluster.start(owner)
	if err := cluster.submit(owner, "job", 6); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the reader knows of the job", func() bool {
		_, known := reader.knownOwner("job")
		return known
	})
	owner.mutex.Lock()
	held := owner.jobs["job"]
	owner.mutex.Unlock()
	way.cutCreates.Store(true)
	way.cutOthers.Store(true)
	cluster.setCut("node-0", true)
	owner.mutex.Lock()
	owner.scheduler.finish(held.items["job.0"], jobstore.Result{ID: "job.0", State: jobstore.Abandoned})
	owner.mutex.Unlock()
	if err := reader.End(context.Background(), "job"); err != nil {
		t.Fatal(err)
	}
	if _, err := reader.Read(context.Background(), "job", 0, 0); err != nil {
		t.Fatal(err)
	}
	// The owner is connected again, and its append is the first call to succeed.
	way.cutCreates.Store(false)
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		owner.mutex.Lock()
		appended := len(held.listed) > 0
		owner.mutex.Unlock()
		if appended {
			break
		}
	}
	way.cutOthers.Store(false)
	cluster.setCut("node-0", false)
	eventually(t, "the owner knows of the end", func() bool {
		owner.mutex.Lock()
		defer owner.mutex.Unlock()
		return owner.jobs["job"] == nil || (held.ended && !held.suspect)
	})
	shown, err := owner.Read(context.Background(), "job", 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	seen, err := reader.Read(context.Background(), "job", 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	if len(seen.Results) != len(shown.Results) {
		t.Errorf("%d results are read at the owner, %d at another node", len(shown.Results), len(seen.Results))
	}
}
