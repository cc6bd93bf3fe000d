package batch

import (
	"context"
	"testing"
	"time"

	"github.com/pathtally/pathtally/internal/jobs/jobstore"
	"github.com/pathtally/pathtally/internal/wire"
	"github.com/pathtally/pathtally/standin/metastore"
)

// Guards against a lost end: its retries must continue when the job turns out to have
// another owner.
func TestEndIsRetriedAfterTakeover(t *testing.T) {
	engine := newHoldingEngine(t)
	t.Cleanup(engine.release)
	cluster, former, _, endStaleReads := newSupersededOwner(t, engine)
	holds := func() bool {
		former.mutex.Lock()
		defer former.mutex.Unlock()
		return former.jobs["job"] != nil
	}
	if !holds() {
		t.Fatal("the former owner knows of its successor already")
	}
	cluster.store.SetFault(func(call metastore.Call) metastore.Fault {
		if call.Verb == "status" {
			return metastore.Refused
		}
		return metastore.NoFault
	})
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	if err := former.End(ctx, "job"); err == nil {
		t.Fatal("the end is acknowledged while the store rejects it")
	}
	endStaleReads()
	eventually(t, "the former owner knows of its successor", func() bool { return !holds() })
	cluster.store.SetFault(nil)
	cluster.setDisconnected("node-0", false)
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		stored, err := jobstore.New(cluster.store).Read(context.Background(), "job")
		if err != nil {
			t.Fatal(err)
		}
		if stored.Ended {
			return
		}
	}
	t.Error("the end is not stored three seconds after the store recovered")
}

// Guards against a lost end: the owner must store an end that another node announced and
// may not have stored.
func TestAnnouncedEndIsStored(t *testing.T) {
	engine := newHoldingEngine(t)
	cluster := newCluster(t, 1, engine)
	owner := cluster.nodes[0]
	if err := cluster.submit(owner, "job", 6); err != nil {
		t.Fatal(err)
	}
	owner.ReceiveHeartbeat(&wire.NodeBeat{Node: "former", Address: "former", Incarnation: 1, Ended: []string{"job"}})
	for end := time.Now().Add(3 * recordCheckInterval); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		stored, err := jobstore.New(cluster.store).Read(context.Background(), "job")
		if err != nil {
			t.Fatal(err)
		}
		if stored.Ended {
			return
		}
	}
	t.Errorf("the end is not stored after %v", 3*recordCheckInterval)
}

// Guards against readers of an ended job that wait for its seal while the store rejects
// writes.
func TestReadDoesNotWaitForSeal(t *testing.T) {
	cluster := newEndedCluster(t)
	cluster.store.SetFault(func(call metastore.Call) metastore.Fault {
		if call.Verb == "create" {
			return metastore.Refused
		}
		return metastore.NoFault
	})
	for range 4 {
		began := time.Now()
		page, err := cluster.nodes[0].Read(context.Background(), "job", 0, 0)
		if took := time.Since(began); err != nil || took > sealTimeout/10 {
			t.Errorf("%d results after %v, error %v", len(page.Results), took, err)
		}
	}
}
