package usage

import (
	"context"
	"errors"
	"testing"

	"github.com/pathtally/pathtally/standin/metastore"
)

func TestASettledSumStands(t *testing.T) {
	store := metastore.New()
	first, second := &ledger{store: store}, &ledger{store: store}
	ctx := context.Background()
	if _, err := first.settle(ctx, 5, Counts{"t": 3}); err != nil {
		t.Fatal(err)
	}
	for range 2 {
		if got, err := second.settle(ctx, 5, Counts{"t": 4}); err != nil || got["t"] != 3 {
			t.Errorf("settled as %v, %v", got, err)
		}
	}
	// The first ledger does not know the newest write of the second one.
	if _, err := second.settle(ctx, 6, Counts{"t": 7}); err != nil {
		t.Fatal(err)
	}
	if _, err := first.settle(ctx, 6, Counts{"t": 8}); err == nil {
		t.Fatal("a write beside another's succeeded")
	}
	if got, err := first.settle(ctx, 6, Counts{"t": 8}); err != nil || got["t"] != 7 {
		t.Errorf("settled as %v, %v", got, err)
	}
}

// A write that was not answered may have been applied, or may be applied later. A second sum
// must not be settled beside it.
func TestAWriteWithoutAnAnswerIsReadFirst(t *testing.T) {
	for _, fault := range []metastore.Fault{metastore.Late, metastore.Unanswered} {
		store := metastore.New()
		settled, other := &ledger{store: store}, &ledger{store: store}
		ctx := context.Background()
		if _, err := settled.settle(ctx, 5, Counts{"t": 1}); err != nil {
			t.Fatal(err)
		}
		store.SetFault(func(call metastore.Call) metastore.Fault {
			if call.Verb == "replace" {
				return fault
			}
			return metastore.Sound
		})
		if _, err := settled.settle(ctx, 6, Counts{"t": 2}); err == nil {
			t.Fatal("a write without an answer succeeded")
		}
		store.SetFault(nil)
		store.ApplyLate()
		if got, err := other.settle(ctx, 6, Counts{"t": 3}); err != nil || got["t"] != 2 {
			t.Errorf("fault %v: another node settled %v, %v", fault, got, err)
		}
		if got, err := settled.settle(ctx, 6, Counts{"t": 9}); err != nil || got["t"] != 2 {
			t.Errorf("fault %v: settled as %v, %v", fault, got, err)
		}
	}
}

func TestTheLedgerHoldsTheNewestWindows(t *testing.T) {
	store := metastore.New()
	settled := &ledger{store: store}
	ctx := context.Background()
	for window := range int64(maxSettledWindows + 3) {
		if _, err := settled.settle(ctx, window, Counts{}); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := settled.settle(ctx, 1, Counts{"t": 1}); !errors.Is(err, ErrTooOld) {
		t.Errorf("a window that the ledger has dropped is settled anew: %v", err)
	}
}
