package watchcache

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/pathtally/pathtally/internal/objectstore"
)

// For how long the store holds a watch without events.
const (
	// LongWait is for kinds whose changes have no bound: an answer costs a call.
	LongWait = 25 * time.Second
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
	regained := i.regained()
	type result struct {
		changes objectstore.Changes
		err     error
	}
	results := make(chan result, 1)
	go func() {
		changes, err := i.store.Watch(ctx, i.cache.kind, from, i.cache.wait)
		results <- result{changes, err}
	}()
	var settled <-chan time.Time
	if i.settled != nil {
		settled = i.settled.C
	}
	select {
	case ended := <-results:
		return ended.changes, ended.err
	case <-settled:
		i.settled = nil
		return objectstore.Changes{}, errSettling
	case <-regained:
		return objectstore.Changes{}, errRegained
	case <-ctx.Done():
		return objectstore.Changes{}, ctx.Err()
	}
}

// errRegained ends a watch from before an outage of the store, and errSettling
// one that began soon after.
var (
	errRegained = merry.Sentinel("store reachable again")
	errSettling = merry.Sentinel("store settled after an outage")
)
