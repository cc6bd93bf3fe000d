package quarantine

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/clock"
	"github.com/pathtally/pathtally/internal/store/objectstore"
	"github.com/pathtally/pathtally/standin/metastore"
)

// storedRecord returns the decoded record of a store, nil if there is none.
func storedRecord(t *testing.T, store *metastore.Store) map[Fingerprint]time.Time {
	t.Helper()
	objects := store.Objects(Kind)
	if len(objects) == 0 {
		return nil
	}
	decoded, err := decodeRecord(objects[0].Spec)
	if err != nil {
		t.Fatal(err)
	}
	return decoded
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("timed out waiting until %s", what)
}

func startRecorder(t *testing.T, store objectstore.Store) *recorder {
	t.Helper()
	recorder := newRecorder(store, clock.Monotonic, time.Hour, klog.Background())
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go recorder.Run(ctx)
	return recorder
}

func TestRecorderConcurrentNodes(t *testing.T) {
	store := metastore.New()
	one, two := startRecorder(t, store), startRecorder(t, store)
	for number := range 40 {
		recorder := one
		if number%2 == 1 {
			recorder = two
		}
		recorder.setPending(testFingerprint(number), pendingChange{start: time.Now()})
	}
	eventually(t, "all requests are in the record", func() bool { return len(storedRecord(t, store)) == 40 })
	one.setPending(testFingerprint(3), pendingChange{remove: true})
	eventually(t, "the removed request is not in the record", func() bool { return len(storedRecord(t, store)) == 39 })
}

// Guards against losing a write when the store rejects it or its response is lost.
func TestRecorderRetriesWrites(t *testing.T) {
	for _, fault := range []struct {
		name string
		kind metastore.Fault
	}{{"rejected", metastore.Refused}, {"response lost", metastore.ResponseLost}} {
		t.Run(fault.name, func(t *testing.T) {
			t.Parallel()
			store := metastore.New()
			var calls atomic.Int64
			store.SetFault(func(metastore.Call) metastore.Fault {
				if calls.Add(1) <= 3 {
					return fault.kind
				}
				return metastore.NoFault
			})
			recorder := startRecorder(t, store)
			recorder.setPending(testFingerprint(1), pendingChange{start: time.Now()})
			eventually(t, "the request is in the record", func() bool { return len(storedRecord(t, store)) == 1 && !recorder.hasPending() })
		})
	}
}

func TestRecorderDropsExpired(t *testing.T) {
	store := metastore.New()
	old, err := encodeRecord(map[Fingerprint]time.Time{testFingerprint(1): time.Now().Add(-2 * time.Hour)})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := store.Create(t.Context(), Kind, ObjectName, old); err != nil {
		t.Fatal(err)
	}
	startRecorder(t, store).setPending(testFingerprint(2), pendingChange{start: time.Now()})
	eventually(t, "only the new request is in the record", func() bool {
		current := storedRecord(t, store)
		_, isOld := current[testFingerprint(1)]
		return len(current) == 1 && !isOld
	})
}
