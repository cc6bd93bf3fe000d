package batch

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"testing"

	"github.com/pathtally/pathtally/internal/jobs/jobstore"
	"github.com/pathtally/pathtally/internal/store/objectstore"
	"github.com/pathtally/pathtally/standin/metastore"
)

// delayedStore delays the response to the first create of a job's record, and never
// responds to later ones.
type delayedStore struct {
	*metastore.Store
	attempts atomic.Int32
	respond  chan struct{}
}

func (s *delayedStore) Create(ctx context.Context, kind, name string, spec json.RawMessage) (objectstore.Object, error) {
	if kind != jobstore.KindJobs {
		return s.Store.Create(ctx, kind, name, spec)
	}
	if s.attempts.Add(1) > 1 {
		<-ctx.Done()
		return objectstore.Object{}, &objectstore.UnansweredError{Cause: ctx.Err()}
	}
	object, err := s.Store.Create(ctx, kind, name, spec)
	<-s.respond
	return object, err
}

// Guards against regarding the owner named in a delayed response to a create as the
// current one, after the job was taken over.
func TestDelayedCreateResponseAfterTakeover(t *testing.T) {
	engine := newHoldingEngine(t)
	defer engine.release()
	cluster := newCluster(t, 1, engine)
	other := cluster.nodes[0]
	slow := cluster.makeNode("node-1", []*testEngine{engine})
	delayed := &delayedStore{Store: cluster.store, respond: make(chan struct{})}
	slow.config.JobStore = jobstore.New(delayed)
	slow.table.Join(slow.ctx)
	cluster.start(slow)
	eventually(t, "the slow node has read the stored jobs", slow.Recovered)
	accepted := make(chan error, 1)
	go func() { accepted <- cluster.submit(slow, "job", 6) }()
	eventually(t, "the record is created", func() bool { return cluster.store.Has(jobstore.KindJobs, "job") })
	if err := cluster.submit(other, "job", 6); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the other node has taken the job over", func() bool { return cluster.owner("job") == other })
	close(delayed.respond)
	if err := <-accepted; err != nil {
		t.Fatal(err)
	}
	eventually(t, "the slow node knows who owns the job", func() bool {
		owner, known := slow.knownOwner("job")
		return known && owner.Node == other.config.Self.Node
	})
	slow.mutex.Lock()
	defer slow.mutex.Unlock()
	if slow.jobs["job"] != nil || len(slow.replicas.States) > 0 {
		t.Error("the slow node runs the job or has used replicas")
	}
}
