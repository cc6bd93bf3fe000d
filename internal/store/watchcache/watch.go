package watchcache

import (
	"context"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/pathtally/pathtally/internal/store/objectstore"
)

// The timeouts of a watch call: how long the store may hold it without events. A lost
// response is only noticed when this time has passed.
const (
	// LongWatchTimeout is for kinds whose changes may take effect late. It is shorter than
	// the time for which stores keep their history, so that a watch without changes doesn't
	// lead to a new listing.
	LongWatchTimeout = 15 * time.Second
	// ShortWatchTimeout is for kinds whose changes have to take effect within two seconds,
	// or five seconds if responses of the store are lost.
	ShortWatchTimeout = 3 * time.Second
)

var (
	// errRecovered ends a call that was sent before the end of an outage.
	errRecovered = merry.Sentinel("store available again")
	// errRelistDue ends a watch when relistDelay has passed since a gap.
	errRelistDue = merry.Sentinel("relist due after an outage")
)

// watch waits for changes, at most until an outage ends or the kind is due to be listed
// again.
func (i *Informer) watch(ctx context.Context, from uint64) (objectstore.Changes, error) {
	var relistDue <-chan time.Time
	if i.relistTimer != nil {
		relistDue = i.relistTimer.C
	}
	changes, err := untilRecovered(ctx, i.Recovered(), relistDue, func() (objectstore.Changes, error) {
		return i.store.Watch(ctx, i.cache.kind, from, i.cache.watchTimeout)
	})
	if errors.Is(err, errRelistDue) {
		i.relistTimer = nil
	}
	return changes, err
}

// untilRecovered makes a call to the store and waits for its result, at most until an
// outage ends or a new listing is due. A call sent before the end of an outage may never
// get a response.
func untilRecovered[T any](ctx context.Context, recovered <-chan struct{}, relistDue <-chan time.Time, call func() (T, error)) (T, error) {
	type result struct {
		value T
		err   error
	}
	results := make(chan result, 1)
	go func() {
		value, err := call()
		results <- result{value, err}
	}()
	var zero T
	select {
	case got := <-results:
		return got.value, got.err
	case <-relistDue:
		return zero, errRelistDue
	case <-recovered:
		return zero, errRecovered
	case <-ctx.Done():
		return zero, ctx.Err()
	}
}
