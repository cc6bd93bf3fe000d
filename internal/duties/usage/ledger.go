package usage

import (
	"context"
	"encoding/json"
	"errors"
	"slices"

	"github.com/ansel1/merry/v2"

	"github.com/pathtally/pathtally/internal/store/objectstore"
)

const (
	ledgerKind = "usage"
	ledgerName = "settled"
	// maxSettledWindows is how many windows the ledger holds: those whose reports the
	// next holder of the lease may repeat, a minute of windows of the usual length.
	// Older ones are never reported again.
	maxSettledWindows = 12
)

// ErrTooOld means that a window is older than all that the ledger holds, so that another
// sum may have been settled for it.
var ErrTooOld = merry.Sentinel("window is older than the ledger")

// entry is a window whose sum is settled.
type entry struct {
	Window int64  `json:"window"`
	Counts Counts `json:"counts"`
}

// ledgerSpec is the stored ledger, oldest window first.
type ledgerSpec struct {
	Settled []entry `json:"settled"`
}

// ledger settles the sum of each window once for all nodes: one object in the
// metadata store, written on condition. It belongs to one goroutine.
type ledger struct {
	store objectstore.Store
	// known is what the store held at revision, if read is set.
	known    ledgerSpec
	revision uint64
	read     bool
}

// settle returns the settled sum of a window: the given one unless another was settled
// before. An error means that none is known to be settled.
func (l *ledger) settle(ctx context.Context, window int64, counts Counts) (Counts, error) {
	if !l.read {
		if err := l.load(ctx); err != nil {
			return nil, err
		}
	}
	if current, found := l.find(window); found {
		return current, nil
	}
	if len(l.known.Settled) == maxSettledWindows && window < l.known.Settled[0].Window {
		return nil, ErrTooOld
	}
	return l.append(ctx, entry{Window: window, Counts: counts})
}

func (l *ledger) find(window int64) (Counts, bool) {
	for _, current := range l.known.Settled {
		if current.Window == window {
			return current.Counts, true
		}
	}
	return nil, false
}

// load reads the ledger.
func (l *ledger) load(ctx context.Context) error {
	object, err := l.store.Get(ctx, ledgerKind, ledgerName, objectstore.Linearizable)
	if errors.Is(err, objectstore.ErrNotFound) {
		l.known, l.revision, l.read = ledgerSpec{}, 0, true
		return nil
	}
	if err != nil {
		return err
	}
	return l.take(object)
}

func (l *ledger) take(object objectstore.Object) error {
	var stored ledgerSpec
	if err := json.Unmarshal(object.Spec, &stored); err != nil {
		return merry.Wrap(err)
	}
	l.known, l.revision, l.read = stored, object.Revision, true
	return nil
}

// append writes a further window. Where another node has written meanwhile, what is
// stored is known afterwards and the caller tries again.
func (l *ledger) append(ctx context.Context, added entry) (Counts, error) {
	next := ledgerSpec{Settled: append(slices.Clone(l.known.Settled), added)}
	slices.SortFunc(next.Settled, func(a, b entry) int { return int(a.Window - b.Window) })
	if excess := len(next.Settled) - maxSettledWindows; excess > 0 {
		next.Settled = next.Settled[excess:]
	}
	spec, err := json.Marshal(next)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	var object objectstore.Object
	if l.revision == 0 {
		object, err = l.store.Create(ctx, ledgerKind, ledgerName, spec)
	} else {
		object, err = l.store.Replace(ctx, ledgerKind, ledgerName, spec, l.revision)
	}
	var conflict *objectstore.ConflictError
	switch {
	case errors.As(err, &conflict):
		return nil, errors.Join(err, l.take(conflict.Current))
	case err != nil:
		// The write may have been applied, or may be applied yet.
		l.read = false
		return nil, err
	}
	l.known, l.revision = next, object.Revision
	return added.Counts, nil
}
