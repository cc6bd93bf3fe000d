package lease

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pathtally/pathtally/internal/clock"
	"github.com/pathtally/pathtally/standin/metastore"
)

const testTakeoverGap = 3 * time.Second

func newLease(node string, store *metastore.Store) *Lease {
	return NewLease(node, node, testTakeoverGap, store, clock.Monotonic)
}

// acquireNow acquires the lease, which must need no wait, and returns the token.
func acquireNow(t *testing.T, lease *Lease) uint64 {
	t.Helper()
	wait, err := lease.Acquire(context.Background())
	if wait != 0 || err != nil {
		t.Fatalf("%s: acquire returned wait %s, error %v, want neither", lease.state.node, wait, err)
	}
	token, valid := lease.ValidToken()
	if !valid {
		t.Fatalf("%s: lease is not valid after it was acquired", lease.state.node)
	}
	return token
}

// awaitLease acquires the lease after the necessary waits.
func awaitLease(t *testing.T, successor *Lease) {
	t.Helper()
	for {
		wait, err := successor.Acquire(context.Background())
		if err != nil {
			t.Fatalf("%s failed to acquire the lease: %v", successor.state.node, err)
		}
		if wait == 0 {
			return
		}
		time.Sleep(wait)
	}
}

// A renewal that doesn't change the stored object makes no new revision, and a successor
// would take over while the holder still sends calls.
func TestRenewalIncreasesToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lease := newLease("one", metastore.New())
		first := acquireNow(t, lease)
		if second := acquireNow(t, lease); second <= first {
			t.Errorf("renewal changed the token to %d from %d, want an increase", second, first)
		}
	})
}

// A successor that measures its wait from an earlier write than the last one would send calls
// at the same time as the holder.
func TestSuccessorWaitsFromLastWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := metastore.New()
		former, successor := newLease("one", store), newLease("two", store)
		acquireNow(t, former)
		if wait, _ := successor.Acquire(context.Background()); wait <= testTakeoverGap {
			t.Fatalf("successor waits %s, want more than the takeover gap", wait)
		}
		time.Sleep(4 * time.Second)
		acquireNow(t, former)
		renewed := time.Now()
		awaitLease(t, successor)
		if waited := time.Since(renewed); waited < SendWindow+testTakeoverGap {
			t.Errorf("successor acquired the lease %s after the holder's last write, too early", waited)
		}
		if _, valid := former.ValidToken(); valid {
			t.Error("former holder may still send calls")
		}
		if _, err := former.Acquire(context.Background()); err == nil {
			if _, valid := former.ValidToken(); valid {
				t.Error("former holder reacquired the lease without a wait")
			}
		}
	})
}

// A holder that resumes after a pause must not send calls, since another node may have taken
// over.
func TestPausedHolderLosesLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lease := newLease("one", metastore.New())
		acquireNow(t, lease)
		time.Sleep(SendWindow)
		if _, valid := lease.ValidToken(); valid {
			t.Error("lease is valid after the send window")
		}
	})
}

// A write that is applied late must not be mistaken for a later renewal.
func TestUnansweredWriteIsReread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := metastore.New()
		lease := newLease("one", store)
		acquireNow(t, lease)
		store.SetFault(func(call metastore.Call) metastore.Fault {
			if call.Verb == "replace" {
				return metastore.Deferred
			}
			return metastore.NoFault
		})
		if _, err := lease.Acquire(context.Background()); err == nil {
			t.Fatal("unanswered write succeeded")
		}
		if _, valid := lease.ValidToken(); valid {
			t.Error("lease is valid after an unanswered write")
		}
		store.ApplyDeferred()
		store.SetFault(nil)
		acquireNow(t, lease)
	})
}

// A graceful shutdown lets the successor take over without a wait, unless the holder's own
// predecessor may have sent calls within the takeover gap.
func TestReleasedLeaseNeedsNoWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := metastore.New()
		former, successor := newLease("one", store), newLease("two", store)
		acquireNow(t, former)
		time.Sleep(2 * time.Second)
		acquireNow(t, former)
		time.Sleep(2 * time.Second)
		if !former.stop() {
			t.Fatal("holder may not release the lease after 4 s")
		}
		if err := former.release(context.Background()); err != nil {
			t.Fatal(err)
		}
		if _, valid := former.ValidToken(); valid {
			t.Error("lease is valid after it was released")
		}
		if wait, err := former.Acquire(context.Background()); err == nil {
			t.Errorf("stopped node may acquire the lease again, after %s", wait)
		}
		acquireNow(t, successor)
		if successor.stop() {
			t.Error("holder may release the lease immediately after it was acquired")
		}
	})
}

// A write that replaces a revision observed after the decision to write would take the lease
// from a new holder without a wait.
func TestWriteFailsAfterNewObservation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := metastore.New()
		lease, other := newLease("one", store), newLease("two", store)
		if err := lease.read(context.Background()); err != nil {
			t.Fatal(err)
		}
		next := lease.decide(true)
		acquireNow(t, other)
		lease.Observe(other.LastObserved())
		if err := lease.write(context.Background(), next.replaces, false); err == nil {
			t.Error("write replaced the lease of the new holder")
		}
		if _, valid := lease.ValidToken(); valid {
			t.Error("lease is valid on both nodes")
		}
	})
}

// The in-memory state of a holder is complete only from the time since which no other node
// has held the lease.
func TestHeldSince(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := metastore.New()
		one, two := newLease("one", store), newLease("two", store)
		acquireNow(t, one)
		began, _ := one.HeldSince()
		time.Sleep(2 * SendWindow)
		if _, valid := one.HeldSince(); valid {
			t.Error("lease is valid after the send window")
		}
		acquireNow(t, one)
		if since, valid := one.HeldSince(); !valid || !since.Equal(began) {
			t.Errorf("held since %s, valid %v; want %s, since when no other node has held it", since, valid, began)
		}
		two.Observe(one.LastObserved())
		time.Sleep(SendWindow + testTakeoverGap + takeoverMargin)
		acquireNow(t, two)
		if _, err := one.Acquire(t.Context()); err == nil {
			t.Error("lease of another holder was replaced")
		}
		time.Sleep(SendWindow + testTakeoverGap + takeoverMargin)
		again := time.Now()
		acquireNow(t, one)
		if since, valid := one.HeldSince(); !valid || since.Before(again) {
			t.Errorf("held since %s, valid %v; another node has held it meanwhile", since, valid)
		}
	})
}

// The monotonic clock stops while the machine is suspended. A holder that used it would call
// after another node took over.
func TestLeaseExpiresDuringSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		suspended := time.Duration(0)
		bootClock := func() time.Time { return time.Now().Add(suspended) }
		store := metastore.New()
		lease := NewLease("one", "one", testTakeoverGap, store, bootClock)
		acquireNow(t, lease)
		suspended = SendWindow
		if _, valid := lease.ValidToken(); valid || lease.Remaining() != 0 {
			t.Error("lease is valid after the suspension")
		}
		// The machine is suspended again between the write of a renewal and its result.
		store.SetDelay(func(metastore.Call) metastore.Delay {
			suspended += SendWindow
			return metastore.Delay{}
		})
		if _, err := lease.Acquire(t.Context()); err != nil {
			t.Fatal(err)
		}
		if _, valid := lease.ValidToken(); valid {
			t.Error("send window starts at the response to the renewal instead of its sending")
		}
	})
}

// A stored lease that can't be decoded must be replaced. Otherwise no node could ever perform
// the duties again.
func TestUndecodableLeaseIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := metastore.New()
		former, successor := newLease("one", store), newLease("two", store)
		acquireNow(t, former)
		store.Write(leaseKind, leaseName, "bytes of another writer")
		overwritten := time.Now()
		awaitLease(t, successor)
		if waited := time.Since(overwritten); waited < SendWindow+testTakeoverGap {
			t.Errorf("successor acquired the lease %s after it was overwritten, too early", waited)
		}
	})
}
