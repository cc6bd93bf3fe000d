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

// recorded returns the decoded record of a store, nil if there is none.
func recorded(t *testing.T, store *metastore.Store) map[Fingerprint]time.Time {
	t.Helper()
	objects := store.Objects(Kind)
	if len(objects) == 0 {
		return nil
	}
	read, err := decodeRecord(objects[0].Spec)
	if err != nil {
		t.Fatal(err)
	}
	return read
}

func eventually(t *testing.T, what string, check func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if check() {
			return
		}
	}
	t.Fatalf("not so in the end: %s", what)
}

func startRecorder(t *testing.T, store objectstore.Store) *recorder {
	t.Helper()
	started := newRecorder(store, clock.Steady, time.Hour, klog.Background())
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go started.Run(ctx)
	return started
}

func TestTwoNodesRecordTheirOwnWithoutLosingTheOthers(t *testing.T) {
	store := metastore.New()
	one, two := startRecorder(t, store), startRecorder(t, store)
	for number := range 40 {
		writer := one
		if number%2 == 1 {
			writer = two
		}
		writer.setIntent(numbered(number), intent{at: time.Now()})
	}
	eventually(t, "all requests are in the record", func() bool { return len(recorded(t, store)) == 40 })
	one.setIntent(numbered(3), intent{lift: true})
	eventually(t, "the lifted one is out of it", func() bool { return len(recorded(t, store)) == 39 })
}

// Guards against losing a write when the store rejects it or its response is lost.
func TestRecordIsWrittenOnceTheStoreIsBack(t *testing.T) {
	for _, fault := range []struct {
		name string
		kind metastore.Fault
	}{{"refused", metastore.Refused}, {"done and not answered", metastore.Unanswered}} {
		t.Run(fault.name, func(t *testing.T) {
			t.Parallel()
			store := metastore.New()
			var calls atomic.Int64
			store.SetFault(func(metastore.Call) metastore.Fault {
				if calls.Add(1) <= 3 {
					return fault.kind
				}
				return metastore.Sound
			})
			writer := startRecorder(t, store)
			writer.setIntent(numbered(1), intent{at: time.Now()})
			eventually(t, "the request is in the record", func() bool { return len(recorded(t, store)) == 1 && !writer.isBehind() })
		})
	}
}

func TestQuarantinesThatAreOverLeaveTheRecord(t *testing.T) {
	store := metastore.New()
	old, err := encodeRecord(map[Fingerprint]time.Time{numbered(1): time.Now().Add(-2 * time.Hour)})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := store.Create(t.Context(), Kind, ObjectName, old); err != nil {
		t.Fatal(err)
	}
	startRecorder(t, store).setIntent(numbered(2), intent{at: time.Now()})
	eventually(t, "only the new one stands", func() bool {
		current := recorded(t, store)
		_, isOld := current[numbered(1)]
		return len(current) == 1 && !isOld
	})
}
