package usage

import (
	"context"
	"errors"
	"testing"

	"github.com/pathtally/pathtally/standin/metastore"
)

// Two sums settled for one window would lead to different reports of it.
func TestSettledSumIsFinal(t *testing.T) {
	store := metastore.New()
	first, second := &ledger{store: store}, &ledger{store: store}
	ctx := context.Background()
	if _, err := first.settle(ctx, 5, Counts{"t": 3}); err != nil {
		t.Fatal(err)
	}
	for range 2 {
		if got, err := second.settle(ctx, 5, Counts{"t": 4}); err != nil || got["t"] != 3 {
			t.Errorf("window 5 is settled as %v, error %v, want the first sum", got, err)
		}
	}
	// The first ledger does not know the newest write of the second one.
	if _, err := second.settle(ctx, 6, Counts{"t": 7}); err != nil {
		t.Fatal(err)
	}
	if _, err := first.settle(ctx, 6, Counts{"t": 8}); err == nil {
		t.Fatal("conflicting write succeeded")
	}
	if got, err := first.settle(ctx, 6, Counts{"t": 8}); err != nil || got["t"] != 7 {
		t.Errorf("window 6 is settled as %v, error %v, want the first sum", got, err)
	}
}

// A write that was not answered may have been applied, or may be applied later. A second sum
// must not be settled beside it.
func TestLedgerRereadsUnansweredWrite(t *testing.T) {
	for _, fault := range []metastore.Fault{metastore.Deferred, metastore.ResponseLost} {
		store := metastore.New()
		own, other := &ledger{store: store}, &ledger{store: store}
		ctx := context.Background()
		if _, err := own.settle(ctx, 5, Counts{"t": 1}); err != nil {
			t.Fatal(err)
		}
		store.SetFault(func(call metastore.Call) metastore.Fault {
			if call.Verb == "replace" {
				return fault
			}
			return metastore.NoFault
		})
		if _, err := own.settle(ctx, 6, Counts{"t": 2}); err == nil {
			t.Fatal("unanswered write succeeded")
		}
		store.SetFault(nil)
		store.ApplyDeferred()
		if got, err := other.settle(ctx, 6, Counts{"t": 3}); err != nil || got["t"] != 2 {
			t.Errorf("fault %v: another node settled %v, error %v, want the first sum", fault, got, err)
		}
		if got, err := own.settle(ctx, 6, Counts{"t": 9}); err != nil || got["t"] != 2 {
			t.Errorf("fault %v: settled as %v, error %v, want the first sum", fault, got, err)
		}
	}
}

// A window that was dropped from the ledger must not be settled with another sum.
func TestLedgerHoldsNewestWindows(t *testing.T) {
	store := metastore.New()
	own := &ledger{store: store}
	ctx := context.Background()
	for window := range int64(maxSettledWindows + 3) {
		if _, err := own.settle(ctx, window, Counts{}); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := own.settle(ctx, 1, Counts{"t": 1}); !errors.Is(err, ErrTooOld) {
		t.Errorf("settling a window that the ledger has dropped: error %v, want ErrTooOld", err)
	}
}
