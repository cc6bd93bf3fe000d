package cleanup

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/clock"
	"github.com/pathtally/pathtally/internal/jobs/jobstore"
	"github.com/pathtally/pathtally/standin/metastore"
)

const testRetention = 4 * time.Minute

// testHolder is a Holder that a test turns on and off.
type testHolder struct{ holds atomic.Bool }

func (h *testHolder) Hold(context.Context) bool { return h.holds.Load() }

func (h *testHolder) BeginCall() (func(bool), bool) { return func(bool) {}, h.holds.Load() }

func (h *testHolder) MarkIdle() {}

// startService starts a service that deletes from a store until the test ends.
func startService(ctx context.Context, store *metastore.Store, name string) *testHolder {
	holder := &testHolder{}
	service := NewService(Config{
		Node: name, Retention: testRetention, Holder: holder, Store: store, JobStore: jobstore.New(store), Logger: klog.Background(),
		Registry: prometheus.NewRegistry(), Clock: clock.Monotonic,
	})
	go service.Run(ctx)
	return holder
}

// accept stores a job with some chunks of results.
func accept(t *testing.T, store *metastore.Store, id string, chunks int) {
	t.Helper()
	jobs := jobstore.New(store)
	if _, _, err := jobs.Accept(t.Context(), id, jobstore.Record{Epoch: 1}, []byte("payload of "+id)); err != nil {
		t.Fatal(err)
	}
	for index := range chunks {
		if _, _, err := jobs.Append(t.Context(), id, index, jobstore.Chunk{Writer: "w", Serial: index}); err != nil {
			t.Fatal(err)
		}
	}
}

func end(t *testing.T, store *metastore.Store, id string) {
	t.Helper()
	if _, err := jobstore.New(store).End(t.Context(), id); err != nil {
		t.Fatal(err)
	}
}

// objectsOf returns the names of a job's objects in the store.
func objectsOf(store *metastore.Store, id string) []string {
	var names []string
	for _, kind := range []string{jobstore.KindJobs, jobstore.KindResults, jobstore.KindPayloads} {
		for _, object := range store.Objects(kind) {
			if object.Name == id || strings.HasPrefix(object.Name, id+"-") {
				names = append(names, kind+"/"+object.Name)
			}
		}
	}
	return names
}

// Guards against objects of ended jobs that stay in the store for ever, and against the deletion of jobs
// that are open, may still be read, or can't be decoded.
func TestEndedJobsAreDeleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := metastore.New()
		accept(t, store, "open", 3)
		accept(t, store, "ended", 3)
		accept(t, store, "ended-000001", 2)
		accept(t, store, "late", 1)
		store.WriteRaw(jobstore.KindJobs, "invalid", []byte(`{"owner":7}`))
		end(t, store, "ended")
		holder := startService(t.Context(), store, "node-0")
		holder.holds.Store(true)
		time.Sleep(testRetention - time.Second)
		if len(objectsOf(store, "ended")) == 0 {
			t.Error("a job was deleted before its retention was over")
		}
		end(t, store, "late")
		time.Sleep(testRetention)
		for _, id := range []string{"open", "ended-000001", "late", "invalid"} {
			if len(objectsOf(store, id)) == 0 {
				t.Errorf("job %s was deleted", id)
			}
		}
		time.Sleep(testRetention)
		if left := objectsOf(store, "late"); len(left) > 0 {
			t.Errorf("left of a job that ended later: %v", left)
		}
		for _, object := range objectsOf(store, "ended") {
			if !strings.Contains(object, "ended-000001") {
				t.Errorf("%s is left of an ended job", object)
			}
		}
		if len(objectsOf(store, "open")) != 5 || len(objectsOf(store, "invalid")) != 1 {
			t.Errorf("objects of open jobs: %v, of an invalid record: %v", objectsOf(store, "open"), objectsOf(store, "invalid"))
		}
	})
}

// world is a store with faults, jobs and holders that change.
type world struct {
	t      *testing.T
	store  *metastore.Store
	random *rand.Rand
	faults atomic.Bool
	mutex  sync.Mutex
	// endedAt is when each job ended, zero for open ones.
	endedAt map[string]time.Time
	chunks  map[string]int
}

// fault returns the fault of a call of the services.
func (w *world) fault(call metastore.Call) metastore.Fault {
	if !w.faults.Load() {
		return metastore.NoFault
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.random.IntN(4) > 0 {
		return metastore.NoFault
	}
	if call.Verb == "list" || call.Verb == "get" {
		return metastore.Refused
	}
	return []metastore.Fault{metastore.Refused, metastore.ResponseLost, metastore.Deferred, metastore.Dropped}[w.random.IntN(4)]
}

// check checks that no job is gone, or is there in part, that may still be read.
func (w *world) check() {
	for id, endedAt := range w.endedAt {
		objects := len(objectsOf(w.store, id))
		whole := 2 + w.chunks[id]
		switch {
		case endedAt.IsZero() || time.Since(endedAt) < testRetention:
			if objects != whole {
				w.t.Errorf("job %s has %d of %d objects, ended %v ago", id, objects, whole, time.Since(endedAt))
			}
		case w.store.Has(jobstore.KindJobs, id) && objects != whole:
			w.t.Errorf("job %s can be read and has %d of %d objects", id, objects, whole)
		}
	}
}

// Guards against jobs that are lost, read in part or left behind when holders change half-way, calls get
// no answer or are done late, and jobs are accepted and ended meanwhile.
func TestDeletionUnderFaults(t *testing.T) {
	for seed := range uint64(10) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playDeletion(t, seed) })
		})
	}
}

func playDeletion(t *testing.T, seed uint64) {
	w := &world{t: t, store: metastore.New(), random: rand.New(rand.NewPCG(seed, seed)), endedAt: map[string]time.Time{}, chunks: map[string]int{}}
	w.store.SetFault(w.fault)
	var holders []*testHolder
	for number := range 3 {
		holders = append(holders, startService(t.Context(), w.store, fmt.Sprint("node-", number)))
	}
	for step := range 160 {
		w.faults.Store(false)
		id := fmt.Sprintf("job-%03d", step)
		w.chunks[id] = w.random.IntN(4)
		accept(t, w.store, id, w.chunks[id])
		w.endedAt[id] = time.Time{}
		for other, endedAt := range w.endedAt {
			if endedAt.IsZero() && w.random.IntN(5) == 0 {
				end(t, w.store, other)
				w.endedAt[other] = time.Now()
			}
		}
		// Most holders stay for longer than the retention, so that they delete something. Now and then
		// two processes take themselves for the holder, or none does.
		if step%16 == 0 {
			for _, holder := range holders {
				holder.holds.Store(w.random.IntN(3) == 0)
			}
			holders[w.random.IntN(len(holders))].holds.Store(w.random.IntN(6) > 0)
		}
		if w.random.IntN(8) == 0 {
			holders[w.random.IntN(len(holders))].holds.Store(false)
		}
		w.faults.Store(true)
		time.Sleep(time.Duration(w.random.IntN(60_000)) * time.Millisecond)
		w.faults.Store(false)
		w.store.ApplyDeferred()
		w.check()
	}
	for id, endedAt := range w.endedAt {
		if endedAt.IsZero() && w.random.IntN(2) == 0 {
			end(t, w.store, id)
			w.endedAt[id] = time.Now()
		}
	}
	for number, holder := range holders {
		holder.holds.Store(number == 0)
	}
	time.Sleep(3 * testRetention)
	w.check()
	for id, endedAt := range w.endedAt {
		if left := objectsOf(w.store, id); !endedAt.IsZero() && len(left) > 0 {
			t.Errorf("left of job %s: %v", id, left)
		}
	}
}

// Guards against deletions that take more of the store's writes than their share.
func TestDeletionRateIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := metastore.New()
		for number := range 200 {
			id := fmt.Sprintf("job-%03d", number)
			accept(t, store, id, 8)
			end(t, store, id)
		}
		startService(t.Context(), store, "node-0").holds.Store(true)
		for range 600 {
			before := store.Calls("delete")
			time.Sleep(time.Second)
			if count := store.Calls("delete") - before; count > int(time.Second/writeInterval) {
				t.Fatalf("%d deletions in a second", count)
			}
		}
		if left := len(store.Objects(jobstore.KindResults)); left > 0 {
			t.Errorf("%d chunks are left", left)
		}
	})
}

// Guards against a tracker that grows with the past of the deployment, forgets what it waits for, or
// takes a stale listing for news.
func TestTracker(t *testing.T) {
	now := time.Now()
	tracked := newTracker(time.Minute)
	for number := range maxTracked + 10 {
		tracked.observe(jobstore.EndedJob{ID: fmt.Sprint(number), Revision: 5}, now)
	}
	if !tracked.isFull() || len(tracked.jobs) != maxTracked {
		t.Errorf("%d jobs are tracked", len(tracked.jobs))
	}
	tracked = newTracker(time.Minute)
	tracked.observe(jobstore.EndedJob{ID: "a", Revision: 5}, now)
	tracked.observe(jobstore.EndedJob{ID: "b", Revision: 6}, now.Add(time.Second))
	tracked.endPass()
	tracked.observe(jobstore.EndedJob{ID: "a", Revision: 4}, now.Add(30*time.Second))
	tracked.observe(jobstore.EndedJob{ID: "b", Revision: 9}, now.Add(30*time.Second))
	tracked.endPass()
	if due := tracked.due(now.Add(time.Minute), 10); len(due) != 1 || due[0] != (jobstore.EndedJob{ID: "a", Revision: 5}) {
		t.Errorf("due: %v", due)
	}
	if due := tracked.due(now.Add(90*time.Second), 1); len(due) != 1 || due[0].ID != "a" {
		t.Errorf("the first due: %v", due)
	}
	tracked.observe(jobstore.EndedJob{ID: "b", Revision: 9}, now)
	tracked.endPass()
	if len(tracked.jobs) != 1 {
		t.Errorf("%d jobs are tracked after one was deleted by others", len(tracked.jobs))
	}
}
