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
type nodeStore struct {
	*metastore.Store
	failCreates, failOthers atomic.Bool
}

// failureDelay is the time until a failing call returns.
const failureDelay = 50 * time.Millisecond

// callError returns an error, after a delay, if calls are to fail.
func callError(ctx context.Context, fails *atomic.Bool) error {
	if !fails.Load() {
		return nil
	}
	objectstore.Sleep(ctx, failureDelay)
	return &objectstore.UnansweredError{Cause: metastore.ErrFault}
}

func (s *nodeStore) List(ctx context.Context, kind, after string, freshness objectstore.Freshness) (objectstore.Page, error) {
	if err := callError(ctx, &s.failOthers); err != nil {
		return objectstore.Page{}, err
	}
	return s.Store.List(ctx, kind, after, freshness)
}

func (s *nodeStore) Get(ctx context.Context, kind, name string, freshness objectstore.Freshness) (objectstore.Object, error) {
	if err := callError(ctx, &s.failOthers); err != nil {
		return objectstore.Object{}, err
	}
	return s.Store.Get(ctx, kind, name, freshness)
}

func (s *nodeStore) Create(ctx context.Context, kind, name string, spec json.RawMessage) (objectstore.Object, error) {
	if err := callError(ctx, &s.failCreates); err != nil {
		return objectstore.Object{}, err
	}
	return s.Store.Create(ctx, kind, name, spec)
}

// Guards against nodes that return different results of an ended job because an owner
// that did not know of the end appended one after others had read the job.
func TestLateAppendOfOwnerUnawareOfEnd(t *testing.T) {
	engine := newHoldingEngine(t)
	cluster := newCluster(t, 0)
	reader := cluster.addNode("node-1", []*testEngine{engine})
	owner := cluster.makeNode("node-0", []*testEngine{engine})
	ownerStore := &nodeStore{Store: cluster.store}
	owner.config.JobStore = jobstore.New(ownerStore)
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
	ownerStore.failCreates.Store(true)
	ownerStore.failOthers.Store(true)
	cluster.setDisconnected("node-0", true)
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
	ownerStore.failCreates.Store(false)
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		owner.mutex.Lock()
		appended := len(held.listed) > 0
		owner.mutex.Unlock()
		if appended {
			break
		}
	}
	ownerStore.failOthers.Store(false)
	cluster.setDisconnected("node-0", false)
	eventually(t, "the owner knows of the end", func() bool {
		owner.mutex.Lock()
		defer owner.mutex.Unlock()
		return owner.jobs["job"] == nil || (held.ended && !held.unconfirmed)
	})
	atOwner, err := owner.Read(context.Background(), "job", 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	atReader, err := reader.Read(context.Background(), "job", 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	if len(atReader.Results) != len(atOwner.Results) {
		t.Errorf("%d results at the owner, %d at another node", len(atOwner.Results), len(atReader.Results))
	}
}
