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
	// gatherTime is how long an informer waits after a change before it
	// watches on, so that changes close together cost one call. It is a small
	// part of the bounds that changes have to be in force within.
	gatherTime = 250 * time.Millisecond
	// retryPause is the time before the first further try while the store does
	// not answer, and longestRetry bounds the times before later ones.
	retryPause   = 250 * time.Millisecond
	longestRetry = 2 * time.Second
	// settleTime is how long after a gap everything is listed once more: a watch
	// that began right after it may not hear what a store that is still
	// recovering has forgotten. A store that forgets its history leaves watches
	// without a word for about a second; tests play up to 1.2 s of that.
	settleTime = 1500 * time.Millisecond
	// outageMemory is how long after a failure vanished entries may be due to
	// the store and not to their owners.
	outageMemory = 4 * time.Second
)

// Informer keeps a cache current from the store: it lists, watches, and lists
// anew when the store has forgotten the history in between.
type Informer struct {
	store  objectstore.Store
	cache  *Cache
	logger klog.Logger

	lastFailed time.Time
	failing    bool
	// settled fires some time after a gap, nil after that.
	settled *time.Timer
	// retry is the time that was waited before the last try.
	retry time.Duration
	// resumes has a watch begin where the copy stands, so that a node that takes over
	// from a reader reads nothing anew.
	resumes bool
	// current is set while the last call to the store was answered.
	current atomic.Bool
	// Failed is called after each call without an answer with when it was sent; it
	// may be nil.
	Failed func(asked time.Time)
	// Regained returns a channel that is closed when the store answers again
	// after it did not. A watch from before may never end: its answer may have
	// been lost, and then its connection says nothing more. Nil for never.
	Regained func() <-chan struct{}
	// Troubled returns when this node last was without the store, as other
	// calls than the informer's own have shown; nil for never.
	Troubled func() time.Time
}

// NewInformer returns an informer that keeps a sink current, and has not
// started.
func NewInformer(store objectstore.Store, kind string, sink Sink, logger klog.Logger) *Informer {
	return newInformer(store, newCache(kind, sink, LongWait, func() {}), logger)
}

func newInformer(store objectstore.Store, cache *Cache, logger klog.Logger) *Informer {
	return &Informer{store: store, cache: cache, logger: logger}
}

// Run works until the context ends.
func (i *Informer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		asked := time.Now()
		if i.resumes && i.resume(ctx) {
			i.follow(ctx)
			continue
		}
		err := i.relist(ctx)
		if errors.Is(err, errRegained) {
			i.logger.Info("listing anew", "kind", i.cache.kind, "reason", err.Error())
			i.noteGap()
			continue
		}
		if err != nil {
			i.fail(ctx, "list", asked, err)
			continue
		}
		i.follow(ctx)
	}
}

// resume asks for what has come since the copy, and tells whether the store still knows.
// Everything is listed once more soon: a store that is losing its history at this moment
// may not say so.
func (i *Informer) resume(ctx context.Context) bool {
	i.resumes = false
	from := i.cache.Revision()
	changes, err := untilRegained(ctx, i.regained(), nil, func() (objectstore.Changes, error) { return i.store.Watch(ctx, i.cache.kind, from, 0) })
	if err != nil {
		i.logger.Info("copy not resumed", "kind", i.cache.kind, "from", from, "reason", err.Error())
		return false
	}
	if !i.cache.Advance(from, changes.Events, changes.At, i.afterOutage()) {
		return false
	}
	i.logger.Info("copy resumed", "kind", i.cache.kind, "from", from, "changes", len(changes.Events))
	i.settled = time.NewTimer(settleTime)
	i.succeed()
	return true
}

// relist reads everything and hands it to the sink.
func (i *Informer) relist(ctx context.Context) error {
	listed, err := untilRegained(ctx, i.regained(), nil, func() (objectstore.Page, error) { return i.list(ctx) })
	if err != nil {
		return err
	}
	if !i.cache.Replace(listed.Objects, listed.At, i.afterOutage()) {
		// An older state than the one known is never shown.
		return &objectstore.UnansweredError{Cause: objectstore.ErrHistoryGone}
	}
	i.succeed()
	return nil
}

// list reads all pages as one.
func (i *Informer) list(ctx context.Context) (objectstore.Page, error) {
	var listed objectstore.Page
	after := ""
	for {
		page, err := i.store.List(ctx, i.cache.kind, after, objectstore.Linearizable)
		if err != nil {
			return objectstore.Page{}, err
		}
		listed.Objects = append(listed.Objects, page.Objects...)
		if listed.At == 0 {
			// Changes between the pages come again in the watch.
			listed.At = page.At
		}
		if !page.More || len(page.Objects) == 0 {
			return listed, nil
		}
		after = page.Objects[len(page.Objects)-1].Name
	}
}

// follow watches until there may be a gap in what it hears or the context ends.
// A watch that ended without an answer is not begun again from where it stood:
// the store may have forgotten what came since, and a new watch may wait for the
// next change without saying so.
func (i *Informer) follow(ctx context.Context) {
	for ctx.Err() == nil {
		from := i.cache.Revision()
		asked := time.Now()
		changes, err := i.watch(ctx, from)
		if errors.Is(err, errRegained) || errors.Is(err, errSettling) {
			i.logger.Info("listing anew", "kind", i.cache.kind, "from", from, "reason", err.Error())
			if errors.Is(err, errRegained) {
				i.noteGap()
			}
			return
		}
		if errors.Is(err, objectstore.ErrHistoryGone) {
			i.logger.Info("watch history gone, listing anew", "kind", i.cache.kind, "from", from)
			return
		}
		if err != nil {
			i.fail(ctx, "watch", asked, err)
			return
		}
		if ctx.Err() != nil || !i.cache.Advance(from, changes.Events, changes.At, i.afterOutage()) {
			continue
		}
		i.succeed()
		if len(changes.Events) > 0 {
			objectstore.Pause(ctx, gatherTime)
		}
	}
}

// noteGap records that changes may have been missed, and that what the store
// says in the next moments may lack some.
func (i *Informer) noteGap() {
	i.lastFailed = time.Now()
	i.settled = time.NewTimer(settleTime)
}

// afterOutage tells whether there was an outage of late. A watch that began
// before one may well be answered after it.
func (i *Informer) afterOutage() bool {
	troubled := i.lastFailed
	if i.Troubled != nil && i.Troubled().After(troubled) {
		troubled = i.Troubled()
	}
	return time.Since(troubled) < outageMemory
}

func (i *Informer) succeed() {
	if !i.current.Swap(true) {
		i.cache.notify()
	}
	i.retry = 0
	if i.failing {
		i.failing = false
		i.logger.Info("store reachable again", "kind", i.cache.kind)
	}
}

func (i *Informer) fail(ctx context.Context, call string, asked time.Time, err error) {
	if ctx.Err() != nil {
		return
	}
	i.noteGap()
	i.current.Store(false)
	if !i.failing {
		i.failing = true
		i.logger.Error(err, "store unreachable", "kind", i.cache.kind, "call", call)
	}
	if i.Failed != nil {
		i.Failed(asked)
	}
	i.awaitRetry(ctx)
}

// awaitRetry waits until the store is worth another try: ever longer, but not
// beyond the end of an outage.
func (i *Informer) awaitRetry(ctx context.Context) {
	i.retry = min(max(retryPause, 2*i.retry), longestRetry)
	regained := i.regained()
	timer := time.NewTimer(i.retry)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-regained:
	case <-timer.C:
	}
}
