package watchcache

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/store/objectstore"
	"github.com/pathtally/pathtally/standin/metastore"
)

// historyLosingStore loses its history in steps: at first watches report nothing, then they
// are cut, and a watch that begins too soon after that reports the gap only at the next
// change.
type historyLosingStore struct {
	*metastore.Store
	mutex sync.Mutex
	// cut ends the open watches. New watches report nothing before stalledUntil.
	cut          chan struct{}
	stalledUntil time.Time
}

func (s *historyLosingStore) Watch(ctx context.Context, kind string, from uint64, wait time.Duration) (objectstore.Changes, error) {
	s.mutex.Lock()
	cut, stalledUntil := s.cut, s.stalledUntil
	s.mutex.Unlock()
	if time.Now().Before(stalledUntil) {
		objectstore.Sleep(ctx, wait)
		return objectstore.Changes{}, objectstore.ErrHistoryGone
	}
	type result struct {
		changes objectstore.Changes
		err     error
	}
	results := make(chan result, 1)
	watching, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		changes, err := s.Store.Watch(watching, kind, from, wait)
		results <- result{changes, err}
	}()
	select {
	case <-cut:
		return objectstore.Changes{}, &objectstore.UnansweredError{Cause: metastore.ErrFault}
	case got := <-results:
		return got.changes, got.err
	}
}

// Guards against missing a change that was made while the store lost its history, by
// resuming a watch right after it was cut.
func TestCutWatchIsNotResumed(t *testing.T) {
	for _, stall := range []time.Duration{0, 400 * time.Millisecond, 1200 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			store := &historyLosingStore{Store: metastore.New(), cut: make(chan struct{})}
			store.Write(testKind, "first", 1)
			sink := &recordingSink{}
			health := newStoreHealth(klog.Background(), func() {})
			informer := newInformer(store, newCache(testKind, sink, LongWatchTimeout, func() {}), health, klog.Background())
			go informer.Run(ctx)
			advance(time.Second)
			// While watches report nothing, a change is made. Then the history is lost and
			// the watches are cut. The probe succeeds at once.
			store.mutex.Lock()
			cut := store.cut
			store.cut, store.stalledUntil = make(chan struct{}), time.Now().Add(stall)
			store.mutex.Unlock()
			close(cut)
			synctest.Wait()
			health.recordSuccess(time.Now())
			advance(stall / 2)
			store.Write(testKind, "first", 2)
			store.CompactHistory()
			advance(relistDelay + 500*time.Millisecond)
			if got := sink.spec("first"); got != "2" {
				t.Errorf("watches stalled for %s: sink has %q two seconds after the change, want 2", stall, got)
			}
			cancel()
			advance(time.Minute)
		})
	}
}
