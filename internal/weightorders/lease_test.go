package weightorders

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pathtally/pathtally/standin/metastore"
)

const testTerm = 3 * time.Second

func newLease(node string, store *metastore.Store) *lease {
	return &lease{node: node, nonce: node, term: testTerm, store: store}
}

// acquireNow acquires without a wait or fails the test.
func acquireNow(t *testing.T, held *lease) uint64 {
	t.Helper()
	pause, err := held.acquire(context.Background())
	if pause != 0 || err != nil {
		t.Fatalf("%s: wait %s, %v", held.node, pause, err)
	}
	token, valid := held.valid()
	if !valid {
		t.Fatalf("%s: the lease is not valid once acquired", held.node)
	}
	return token
}

// A renewal that wrote the same object made no revision, so that a successor
// that had seen the first write took over while orders were still given.
func TestEachRenewalRaisesTheToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		held := newLease("one", metastore.New())
		first := acquireNow(t, held)
		if second := acquireNow(t, held); second <= first {
			t.Errorf("token %d after %d", second, first)
		}
	})
}

func TestSuccessorWaitsForTheLastWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := metastore.New()
		former, successor := newLease("one", store), newLease("two", store)
		acquireNow(t, former)
		if pause, _ := successor.acquire(context.Background()); pause <= testTerm {
			t.Fatalf("the successor waits %s", pause)
		}
		time.Sleep(4 * time.Second)
		acquireNow(t, former)
		renewed := time.Now()
		for {
			pause, err := successor.acquire(context.Background())
			if err != nil {
				t.Fatal(err)
			}
			if pause == 0 {
				break
			}
			time.Sleep(pause)
		}
		if waited := time.Since(renewed); waited < orderWindow+testTerm {
			t.Errorf("the successor gave orders %s after the holder's last write", waited)
		}
		if _, valid := former.valid(); valid {
			t.Error("the former holder may still give orders")
		}
		if _, err := former.acquire(context.Background()); err == nil {
			if _, valid := former.valid(); valid {
				t.Error("the former holder took the lease back at once")
			}
		}
	})
}

func TestFormerHolderThatWakesGivesNoOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		held := newLease("one", metastore.New())
		acquireNow(t, held)
		time.Sleep(orderWindow)
		if _, valid := held.valid(); valid {
			t.Error("the lease is valid after its time")
		}
	})
}

// A write that is done late must not be taken for one made now.
func TestUnansweredWriteIsReadBeforeTheNext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := metastore.New()
		held := newLease("one", store)
		acquireNow(t, held)
		store.SetFault(func(call metastore.Call) metastore.Fault {
			if call.Verb == "replace" {
				return metastore.Late
			}
			return metastore.Sound
		})
		if _, err := held.acquire(context.Background()); err == nil {
			t.Fatal("a write without an answer succeeded")
		}
		if _, valid := held.valid(); valid {
			t.Error("orders are allowed on a write without an answer")
		}
		store.ApplyLate()
		store.SetFault(nil)
		acquireNow(t, held)
	})
}
