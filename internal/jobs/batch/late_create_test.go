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

// lateStore delays the response to the first create of a job's record, and never responds
// to later ones.
type lateStore struct {
	*metastore.Store
	tries  atomic.Int32
	answer chan struct{}
}

func (s *lateStore) Create(ctx context.Context, kind, name string, spec json.RawMessage) (objectstore.Object, error) {
	if kind != jobstore.KindJobs {
		return s.Store.Create(ctx, kind, name, spec)
	}
	if s.tries.Add(1) > 1 {
		<-ctx.Done()
		return objectstore.Object{}, &objectstore.UnansweredError{Cause: ctx.Err()}
	}
	object, err := s.Store.Create(ctx, kind, name, spec)
	<-s.answer
	return object, err
}

// Guards against taking the owner named in a delayed response to a create for the current
// owner, after the job was taken over.
func TestAJobWhoseCreateWasAnsweredLateIsLookedAtFirst(t *testing.T) {
	engine := heldEngine(t)
	defer engine.release()
	cluster := newCluster(t, 1, engine)
	other := cluster.nodes[0]
	slow := cluster.makeNode("node-1", []*testEngine{engine})
	late := &lateStore{Store: cluster.store, answer: make(chan struct{})}
	slow.config.JobStore = jobstore.New(late)
	slow.table.Join(slow.ctx)
	cluster.start(slow)
	eventually(t, "the slow node has read which jobs there are", slow.Recovered)
	accepted := make(chan error, 1)
	go func() { accepted <- cluster.submit(slow, "job", 6) }()
	eventually(t, "the record is made", func() bool { return cluster.store.Has(jobstore.KindJobs, "job") })
	if err := cluster.submit(other, "job", 6); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the other node has taken the job over", func() bool { return cluster.owner("job") == other })
	close(late.answer)
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
		t.Error("the slow node has run items of the job")
	}
}
