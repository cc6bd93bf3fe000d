package watchcache

import (
	"context"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/pathtally/pathtally/internal/store/objectstore"
)

// For how long the store holds a watch without events.
const (
	// LongWait is for kinds whose changes have no bound: an answer costs a call. It is
	// shorter than the time for which stores keep their history, or every watch without
	// changes ends with a listing.
	LongWait = 15 * time.Second
	// PromptWait is for kinds whose changes have to be in force within two seconds. A
	// watch whose answer was lost says nothing more, and nothing but its end shows that.
	// A platform that loses answers gives three seconds more; with the time for the
	// answer the watch ends 4.5 s after it began, half a second before the bound.
	PromptWait = 3 * time.Second
)

// regained is closed when the store answers again after it did not; nil, so that
// it never is, where nobody tells.
func (i *Informer) regained() <-chan struct{} {
	if i.Regained == nil {
		return nil
	}
	return i.Regained()
}

// watch waits for changes, but not beyond the end of an outage.
func (i *Informer) watch(ctx context.Context, from uint64) (objectstore.Changes, error) {
	var settled <-chan time.Time
	if i.settled != nil {
		settled = i.settled.C
	}
	changes, err := untilRegained(ctx, i.regained(), settled, func() (objectstore.Changes, error) {
		return i.store.Watch(ctx, i.cache.kind, from, i.cache.wait)
	})
	if errors.Is(err, errSettling) {
		i.settled = nil
	}
	return changes, err
}

// untilRegained makes a call to the store, but waits for its answer no longer than
// until the store answers again after it did not, or has settled after that: what was
// asked before may never be answered.
func untilRegained[T any](ctx context.Context, regained <-chan struct{}, settled <-chan time.Time, call func() (T, error)) (T, error) {
	type result struct {
		value T
		err   error
	}
	results := make(chan result, 1)
	go func() {
		value, err := call()
		results <- result{value, err}
	}()
	var none T
	select {
	case ended := <-results:
		return ended.value, ended.err
	case <-settled:
		return none, errSettling
	case <-regained:
		return none, errRegained
	case <-ctx.Done():
		return none, ctx.Err()
	}
}

// errRegained ends a call from before the end of an outage of the store, and
// errSettling a watch that began soon after.
var (
	errRegained = merry.Sentinel("store reachable again")
	errSettling = merry.Sentinel("store settled after an outage")
)
