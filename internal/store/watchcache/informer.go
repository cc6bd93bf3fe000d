package watchcache

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/store/objectstore"
)

const (
	// watchPause is how long an informer waits after a change before it watches again, so
	// that it gets changes in quick succession with one call.
	watchPause = 250 * time.Millisecond
	// minRetryBackoff and maxRetryBackoff bound the backoff between attempts while the
	// store is unavailable. It doubles with each attempt.
	minRetryBackoff = 250 * time.Millisecond
	maxRetryBackoff = 2 * time.Second
	// relistDelay is how long after a gap the kind is listed once more. A watch that begins
	// while the store recovers may not report changes that the store has lost.
	relistDelay = 1500 * time.Millisecond
	// outageWindow is how long after an outage missing entries may be missing because of
	// it.
	outageWindow = 4 * time.Second
)

// Informer keeps a cache current from the store: it lists, watches, and lists again
// whenever changes may have been missed.
type Informer struct {
	store  objectstore.Store
	cache  *Cache
	health *storeHealth
	logger klog.Logger
	// Recovered returns a channel that is closed when the store becomes available after an
	// outage. A call sent before may never get a response.
	Recovered func() <-chan struct{}

	// gapAt is when changes may last have been missed.
	gapAt   time.Time
	failing bool
	// relistTimer fires when the kind is to be listed once more; nil for never.
	relistTimer *time.Timer
	// backoff is the wait before the last attempt.
	backoff time.Duration
	// resumeFirst makes the first watch start from the cached revision, so that a node that
	// takes over from a reader doesn't list all kinds at once.
	resumeFirst bool
	// current is set while the last call to the store succeeded.
	current atomic.Bool
}

// NewInformer returns an informer that keeps a sink current with a kind. It has not
// started.
func NewInformer(store objectstore.Store, kind string, sink Sink, logger klog.Logger) *Informer {
	cache := newCache(kind, sink, LongWatchTimeout, func() {})
	return newInformer(store, cache, newStoreHealth(logger, func() {}), logger)
}

func newInformer(store objectstore.Store, cache *Cache, health *storeHealth, logger klog.Logger) *Informer {
	return &Informer{store: store, cache: cache, health: health, logger: logger, Recovered: health.recovered}
}

// Run keeps the cache current until the context ends.
func (i *Informer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		sentAt := time.Now()
		if i.resumeFirst && i.resume(ctx) {
			i.watchUntilGap(ctx)
			continue
		}
		err := i.relist(ctx)
		if errors.Is(err, errRecovered) {
			i.logger.Info("listing again", "kind", i.cache.kind, "reason", err.Error())
			i.recordGap()
			continue
		}
		if err != nil {
			i.handleFailure(ctx, "list", sentAt, err)
			continue
		}
		i.watchUntilGap(ctx)
	}
}

// resume gets the changes since the cached revision, and reports whether the store still
// had them. It schedules another listing: a store that is losing its history may not report
// that.
func (i *Informer) resume(ctx context.Context) bool {
	i.resumeFirst = false
	from := i.cache.Revision()
	changes, err := untilRecovered(ctx, i.Recovered(), nil, func() (objectstore.Changes, error) {
		return i.store.Watch(ctx, i.cache.kind, from, 0)
	})
	if err != nil {
		i.logger.Info("failed to resume the watch from the cache", "kind", i.cache.kind, "from", from, "reason", err.Error())
		return false
	}
	if !i.cache.Advance(from, changes.Events, changes.Revision, i.isAfterOutage()) {
		return false
	}
	i.logger.Info("resumed the watch from the cache", "kind", i.cache.kind, "from", from, "changes", len(changes.Events))
	i.relistTimer = time.NewTimer(relistDelay)
	i.recordSuccess()
	return true
}

// relist lists the kind and replaces the contents of the cache.
func (i *Informer) relist(ctx context.Context) error {
	listed, err := untilRecovered(ctx, i.Recovered(), nil, func() (objectstore.Page, error) {
		return objectstore.ListAll(ctx, i.store, i.cache.kind, objectstore.Linearizable)
	})
	if err != nil {
		return err
	}
	if !i.cache.Replace(listed.Objects, listed.Revision, i.isAfterOutage()) {
		return &objectstore.UnansweredError{Cause: objectstore.ErrHistoryGone}
	}
	i.recordSuccess()
	return nil
}

// watchUntilGap watches until changes may have been missed or the context ends. It doesn't
// resume a watch that failed: the store may have lost changes since, and a new watch may
// not report that before the next change.
func (i *Informer) watchUntilGap(ctx context.Context) {
	for ctx.Err() == nil {
		from := i.cache.Revision()
		sentAt := time.Now()
		changes, err := i.watch(ctx, from)
		if err != nil {
			i.handleWatchError(ctx, from, sentAt, err)
			return
		}
		if ctx.Err() != nil || !i.cache.Advance(from, changes.Events, changes.Revision, i.isAfterOutage()) {
			continue
		}
		i.recordSuccess()
		if len(changes.Events) > 0 {
			objectstore.SleepWithJitter(ctx, watchPause)
		}
	}
}

// handleWatchError handles the error that ended a watch.
func (i *Informer) handleWatchError(ctx context.Context, from uint64, sentAt time.Time, err error) {
	switch {
	case errors.Is(err, errRecovered):
		i.logger.Info("listing again", "kind", i.cache.kind, "from", from, "reason", err.Error())
		i.recordGap()
	case errors.Is(err, errRelistDue):
		i.logger.Info("listing again", "kind", i.cache.kind, "from", from, "reason", err.Error())
	case errors.Is(err, objectstore.ErrHistoryGone):
		i.logger.Info("watch history expired, listing again", "kind", i.cache.kind, "from", from)
	default:
		i.handleFailure(ctx, "watch", sentAt, err)
	}
}

// recordGap records that changes may have been missed, and schedules another listing since
// the store's replies may be incomplete for a while.
func (i *Informer) recordGap() {
	i.gapAt = time.Now()
	i.relistTimer = time.NewTimer(relistDelay)
}

// isAfterOutage reports whether there was an outage within outageWindow. A watch that began
// before an outage may get its response after it.
func (i *Informer) isAfterOutage() bool {
	return time.Since(latest(i.gapAt, i.health.lastOutage())) < outageWindow
}

// recordSuccess records a successful call.
func (i *Informer) recordSuccess() {
	if !i.current.Swap(true) {
		i.cache.notify()
	}
	i.backoff = 0
	if i.failing {
		i.failing = false
		i.logger.Info("store calls succeed again", "kind", i.cache.kind)
	}
}

// handleFailure records a failed call and waits before the next attempt.
func (i *Informer) handleFailure(ctx context.Context, call string, sentAt time.Time, err error) {
	if ctx.Err() != nil {
		return
	}
	i.recordGap()
	i.current.Store(false)
	if !i.failing {
		i.failing = true
		i.logger.Error(err, "store call failed", "kind", i.cache.kind, "call", call)
	}
	i.health.recordFailure(sentAt)
	i.waitBackoff(ctx)
}

// waitBackoff waits for the backoff, or until an outage ends.
func (i *Informer) waitBackoff(ctx context.Context) {
	i.backoff = min(max(minRetryBackoff, 2*i.backoff), maxRetryBackoff)
	recovered := i.Recovered()
	timer := time.NewTimer(i.backoff)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-recovered:
	case <-timer.C:
	}
}
