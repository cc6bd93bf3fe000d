package batch

import (
	"context"
	"testing"
	"time"

	"github.com/pathtally/pathtally/internal/jobs/jobstore"
	"github.com/pathtally/pathtally/internal/wire"
	"github.com/pathtally/pathtally/standin/metastore"
)

// Symptom: a job that a caller has ended runs on at its new owner, although the store
// has been well for seconds.
//
// Sequence: the former owner of a job, which does not know of its successor, is asked
// to end it; the store refuses the end until the caller's time is over; the former
// owner's look at the record shows the successor; then the store takes every call.
//
// Cause: the pursuit of an end stops with the appends of the job, thus as soon as the
// job is found to be another node's. An end holds for an id, whoever runs the job.
func TestAnEndIsPursuedAlthoughTheJobIsAnotherNodesNow(t *testing.T) {
	engine := heldEngine(t)
	t.Cleanup(engine.release)
	cluster, former, _ := displacedOwner(t, engine)
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
		return metastore.Sound
	})
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	if err := former.End(ctx, "job"); err == nil {
		t.Fatal("the end is acknowledged although the store refuses it")
	}
	eventually(t, "the former owner knows of its successor", func() bool { return !holds() })
	cluster.store.SetFault(nil)
	cluster.setCut("node-0", false)
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		standing, err := jobstore.New(cluster.store).Read(context.Background(), "job")
		if err != nil {
			t.Fatal(err)
		}
		if standing.Ended {
			return
		}
	}
	t.Error("the store lacks the end three seconds after it takes every call")
}

// Symptom: a job that a caller has ended stands as open in the store for good, and
// whoever takes it up later runs it.
//
// Sequence: an end is told in a heartbeat by a node that took itself for the owner and
// that the store did not answer; that node dies before the store has the end. The owner
// stops the job, looks at the record, and finds no end there.
//
// Cause: only the process that was asked pursues an end. The owner's look shows each
// time that the store lacks it, and nothing follows from that.
func TestAnEndThatIsOnlyToldIsMadeLasting(t *testing.T) {
	engine := heldEngine(t)
	cluster := newCluster(t, 1, engine)
	owner := cluster.nodes[0]
	if err := cluster.submit(owner, "job", 6); err != nil {
		t.Fatal(err)
	}
	owner.ReceiveHeartbeat(&wire.NodeBeat{Node: "former", Address: "former", Incarnation: 1, Ended: []string{"job"}})
	for end := time.Now().Add(3 * recordCheckInterval); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		standing, err := jobstore.New(cluster.store).Read(context.Background(), "job")
		if err != nil {
			t.Fatal(err)
		}
		if standing.Ended {
			return
		}
	}
	t.Errorf("the store lacks the end after %v", 3*recordCheckInterval)
}

// Symptom: a read of an ended job takes 0.7 to 1.4 s, time and again, while the store
// answers reads at once and refuses writes.
//
// Cause: a reader waits for the seal, which adds nothing to what it is shown, and an
// owner's new process is given no more time by those that ask it than the seal takes.
func TestAReaderOfAnEndedJobDoesNotWaitForItsSeal(t *testing.T) {
	cluster := endedCluster(t)
	cluster.store.SetFault(func(call metastore.Call) metastore.Fault {
		if call.Verb == "create" {
			return metastore.Refused
		}
		return metastore.Sound
	})
	for range 4 {
		began := time.Now()
		page, err := cluster.nodes[0].Read(context.Background(), "job", 0, 0)
		if took := time.Since(began); err != nil || took > sealTimeout/10 {
			t.Errorf("%d results after %v, error %v", len(page.Results), took, err)
		}
	}
}
