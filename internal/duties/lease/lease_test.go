package lease

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pathtally/pathtally/internal/clock"
	"github.com/pathtally/pathtally/standin/metastore"
)

const testTerm = 3 * time.Second

func newLease(node string, store *metastore.Store) *Lease {
	return NewLease(node, node, testTerm, store, clock.Steady)
}

// acquireNow acquires the lease, which must need no wait, and returns the token.
func acquireNow(t *testing.T, held *Lease) uint64 {
	t.Helper()
	pause, err := held.Acquire(context.Background())
	if pause != 0 || err != nil {
		t.Fatalf("%s: wait %s, %v", held.state.node, pause, err)
	}
	token, valid := held.ValidToken()
	if !valid {
		t.Fatalf("%s: the lease is not valid once acquired", held.state.node)
	}
	return token
}

// awaitLease acquires the lease after the necessary waits.
func awaitLease(t *testing.T, successor *Lease) {
	t.Helper()
	for {
		pause, err := successor.Acquire(context.Background())
		if err != nil {
			t.Fatalf("%s cannot have the lease: %v", successor.state.node, err)
		}
		if pause == 0 {
			return
		}
		time.Sleep(pause)
	}
}

// A renewal that doesn't change the stored object makes no new revision, and a successor
// would take over while the holder still sends calls.
func TestEachRenewalRaisesTheToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		held := newLease("one", metastore.New())
		first := acquireNow(t, held)
		if second := acquireNow(t, held); second <= first {
			t.Errorf("token %d after %d", second, first)
		}
	})
}

// A successor that waits from an earlier write than the last one would call at the same time
// as the holder.
func TestSuccessorWaitsForTheLastWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := metastore.New()
		former, successor := newLease("one", store), newLease("two", store)
		acquireNow(t, former)
		if pause, _ := successor.Acquire(context.Background()); pause <= testTerm {
			t.Fatalf("the successor waits %s", pause)
		}
		time.Sleep(4 * time.Second)
		acquireNow(t, former)
		renewed := time.Now()
		awaitLease(t, successor)
		if waited := time.Since(renewed); waited < SendWindow+testTerm {
			t.Errorf("the successor gave orders %s after the holder's last write", waited)
		}
		if _, valid := former.ValidToken(); valid {
			t.Error("the former holder may still give orders")
		}
		if _, err := former.Acquire(context.Background()); err == nil {
			if _, valid := former.ValidToken(); valid {
				t.Error("the former holder took the lease back at once")
			}
		}
	})
}

// A holder that was paused for the send window would call after another node took over.
func TestFormerHolderThatWakesGivesNoOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		held := newLease("one", metastore.New())
		acquireNow(t, held)
		time.Sleep(SendWindow)
		if _, valid := held.ValidToken(); valid {
			t.Error("the lease is valid after its time")
		}
	})
}

// A write that is applied late must not be taken for a later renewal.
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
		if _, err := held.Acquire(context.Background()); err == nil {
			t.Fatal("a write without an answer succeeded")
		}
		if _, valid := held.ValidToken(); valid {
			t.Error("orders are allowed on a write without an answer")
		}
		store.ApplyLate()
		store.SetFault(nil)
		acquireNow(t, held)
	})
}

// A graceful shutdown lets the successor take over without a wait, unless the holder's own
// predecessor may have sent calls within the takeover gap.
func TestReleasedLeaseIsTakenAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := metastore.New()
		former, successor := newLease("one", store), newLease("two", store)
		acquireNow(t, former)
		time.Sleep(2 * time.Second)
		acquireNow(t, former)
		time.Sleep(2 * time.Second)
		if !former.stop() {
			t.Fatal("a holder of four seconds may not release the lease")
		}
		if err := former.release(context.Background()); err != nil {
			t.Fatal(err)
		}
		if _, valid := former.ValidToken(); valid {
			t.Error("the lease is valid once released")
		}
		if pause, err := former.Acquire(context.Background()); err == nil {
			t.Errorf("a stopped node takes the lease again, after %s", pause)
		}
		acquireNow(t, successor)
		if successor.stop() {
			t.Error("a holder of no time may release the lease")
		}
	})
}

// A write that replaces a revision observed after the decision to write would take the lease
// from a new holder without a wait.
func TestWriteFailsOnWhatIsLearntAfterTheWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := metastore.New()
		held, other := newLease("one", store), newLease("two", store)
		if err := held.read(context.Background()); err != nil {
			t.Fatal(err)
		}
		next := held.decide(true)
		acquireNow(t, other)
		held.Observe(other.LastObserved())
		if err := held.write(context.Background(), next.replaces, false); err == nil {
			t.Error("the lease was taken from its holder")
		}
		if _, valid := held.ValidToken(); valid {
			t.Error("both nodes hold the lease")
		}
	})
}

// The in-memory state of a holder is complete only from the time since which no other node
// has held the lease.
func TestAHolderKnowsSinceWhenItIsAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := metastore.New()
		one, two := newLease("one", store), newLease("two", store)
		acquireNow(t, one)
		began, _ := one.HeldSince()
		time.Sleep(2 * SendWindow)
		if _, valid := one.HeldSince(); valid {
			t.Error("the lease is held beyond its window")
		}
		acquireNow(t, one)
		if since, valid := one.HeldSince(); !valid || !since.Equal(began) {
			t.Errorf("held since %s, %v; nobody else has held it since %s", since, valid, began)
		}
		two.Observe(one.LastObserved())
		time.Sleep(SendWindow + testTerm + takeoverMargin)
		acquireNow(t, two)
		if _, err := one.Acquire(t.Context()); err == nil {
			t.Error("a lease that another holds was written")
		}
		time.Sleep(SendWindow + testTerm + takeoverMargin)
		again := time.Now()
		acquireNow(t, one)
		if since, valid := one.HeldSince(); !valid || since.Before(again) {
			t.Errorf("held since %s, %v; another has held it meanwhile", since, valid)
		}
	})
}

// The monotonic clock stops while the machine is suspended. A holder that used it would call
// after another node took over.
func TestALeaseRunsOutWhileTheMachineIsSuspended(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		suspended := time.Duration(0)
		counting := func() time.Time { return time.Now().Add(suspended) }
		store := metastore.New()
		held := NewLease("one", "one", testTerm, store, counting)
		acquireNow(t, held)
		suspended = SendWindow
		if _, valid := held.ValidToken(); valid || held.Remaining() != 0 {
			t.Error("the lease is valid after the suspension")
		}
		// The machine is suspended again between the write of a renewal and its result.
		store.SetDelay(func(metastore.Call) metastore.Delay {
			suspended += SendWindow
			return metastore.Delay{}
		})
		if _, err := held.Acquire(t.Context()); err != nil {
			t.Fatal(err)
		}
		if _, valid := held.ValidToken(); valid {
			t.Error("a renewal counts from its answer and not from its sending")
		}
	})
}

// A stored lease that can't be decoded must be replaced. Otherwise no node could ever perform
// the duties again.
func TestALeaseThatCannotBeReadEndsNoDuty(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := metastore.New()
		former, successor := newLease("one", store), newLease("two", store)
		acquireNow(t, former)
		store.Write(leaseKind, leaseName, "bytes of another writer")
		overwritten := time.Now()
		awaitLease(t, successor)
		if waited := time.Since(overwritten); waited < SendWindow+testTerm {
			t.Errorf("the successor holds the lease %s after it was overwritten", waited)
		}
	})
}
