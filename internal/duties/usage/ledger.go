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
	// maxSettledWindows is the number of windows that the ledger holds: those whose reports the
	// next holder of the lease may repeat, a minute of windows of the usual length. Older
	// windows are never reported again.
	maxSettledWindows = 12
)

// ErrTooOld means that a window is older than those that the ledger holds, so that another
// sum may have been settled for it before.
var ErrTooOld = merry.Sentinel("window is older than those in the ledger")

// entry is a window with its settled sum.
type entry struct {
	Window int64  `json:"window"`
	Counts Counts `json:"counts"`
}

// ledgerSpec is the stored form of the ledger, with the oldest window first.
type ledgerSpec struct {
	Settled []entry `json:"settled"`
}

// ledger settles the sum of each window once for all nodes. It is one object in the metadata
// store, updated by conditional writes. It is not safe for concurrent use.
type ledger struct {
	store objectstore.Store
	// content is the content of the stored object at revision. It is valid if loaded is set.
	content  ledgerSpec
	revision uint64
	loaded   bool
}

// settle returns the settled sum of a window: the given one, unless another was settled
// before. After an error it is unknown whether a sum is settled.
func (l *ledger) settle(ctx context.Context, window int64, counts Counts) (Counts, error) {
	if !l.loaded {
		if err := l.load(ctx); err != nil {
			return nil, err
		}
	}
	if current, found := l.find(window); found {
		return current, nil
	}
	if len(l.content.Settled) == maxSettledWindows && window < l.content.Settled[0].Window {
		return nil, ErrTooOld
	}
	return l.append(ctx, entry{Window: window, Counts: counts})
}

func (l *ledger) find(window int64) (Counts, bool) {
	for _, current := range l.content.Settled {
		if current.Window == window {
			return current.Counts, true
		}
	}
	return nil, false
}

// load reads the stored ledger.
func (l *ledger) load(ctx context.Context) error {
	object, err := l.store.Get(ctx, ledgerKind, ledgerName, objectstore.Linearizable)
	if errors.Is(err, objectstore.ErrNotFound) {
		l.content, l.revision, l.loaded = ledgerSpec{}, 0, true
		return nil
	}
	if err != nil {
		return err
	}
	return l.decode(object)
}

func (l *ledger) decode(object objectstore.Object) error {
	var stored ledgerSpec
	if err := json.Unmarshal(object.Spec, &stored); err != nil {
		return merry.Wrap(err)
	}
	l.content, l.revision, l.loaded = stored, object.Revision, true
	return nil
}

// append adds a window to the stored ledger. If another node has changed the ledger meanwhile,
// it fails, and the next attempt starts from the stored content.
func (l *ledger) append(ctx context.Context, added entry) (Counts, error) {
	next := ledgerSpec{Settled: append(slices.Clone(l.content.Settled), added)}
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
		return nil, errors.Join(err, l.decode(conflict.Current))
	case err != nil:
		// The write may have been applied, or may still be.
		l.loaded = false
		return nil, err
	}
	l.content, l.revision = next, object.Revision
	return added.Counts, nil
}
