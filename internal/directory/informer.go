package directory

import (
	"context"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"
	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/objectstore"
)

const (
	// watchWait is how long the store holds a watch without events.
	watchWait = 25 * time.Second
	// gatherTime is how long an informer waits after a change before it
	// watches on, so that changes close together cost one call. It is a small
	// part of the bounds that changes have to be in force within.
	gatherTime = 250 * time.Millisecond
	// retryPause is the time between tries while the store does not answer.
	retryPause = 250 * time.Millisecond
	// outageMemory is how long after a failure vanished entries may be due to
	// the store and not to their owners.
	outageMemory = 4 * time.Second
)

// Sink takes what an informer learns of one kind.
type Sink interface {
	// Replace takes a whole listing.
	Replace(objects []objectstore.Object, afterOutage bool)
	// Apply takes one change.
	Apply(change objectstore.Change, afterOutage bool)
}

// Informer keeps a sink current with one kind of objects: it lists, watches,
// and lists anew when the store has forgotten the history in between.
type Informer struct {
	store  objectstore.Store
	kind   string
	sink   Sink
	logger klog.Logger

	at         uint64
	lastFailed time.Time
	failing    bool
	// Failed is called after each call without an answer; it may be nil.
	Failed func()
	// Regained returns a channel that is closed when the store answers again
	// after it did not. A watch from before may never end: its answer may have
	// been lost, and then its connection says nothing more. Nil for never.
	Regained func() <-chan struct{}
}

// NewInformer returns an informer that has not started.
func NewInformer(store objectstore.Store, kind string, sink Sink, logger klog.Logger) *Informer {
	return &Informer{store: store, kind: kind, sink: sink, logger: logger}
}

// Run works until the context ends.
func (i *Informer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := i.relist(ctx); err != nil {
			i.fail(ctx, "list", err)
			continue
		}
		i.follow(ctx)
	}
}

// relist reads everything and hands it to the sink.
func (i *Informer) relist(ctx context.Context) error {
	var objects []objectstore.Object
	var at uint64
	after := ""
	for {
		page, err := i.store.List(ctx, i.kind, after, objectstore.Linearizable)
		if err != nil {
			return err
		}
		objects = append(objects, page.Objects...)
		if at == 0 {
			// Changes between the pages come again in the watch.
			at = page.At
		}
		if !page.More || len(page.Objects) == 0 {
			break
		}
		after = page.Objects[len(page.Objects)-1].Name
	}
	if at < i.at {
		// An older state than the one known is never shown.
		return &objectstore.UnansweredError{Cause: objectstore.ErrHistoryGone}
	}
	i.at = at
	i.succeed()
	i.sink.Replace(objects, i.afterOutage())
	return nil
}

// follow watches until the history is gone or the context ends.
func (i *Informer) follow(ctx context.Context) {
	for ctx.Err() == nil {
		changes, err := i.watch(ctx)
		if errors.Is(err, errRegained) {
			i.lastFailed = time.Now()
			i.logger.Info("watch begun anew", "kind", i.kind, "from", i.at)
			continue
		}
		if errors.Is(err, objectstore.ErrHistoryGone) {
			i.logger.Info("watch history gone, listing anew", "kind", i.kind, "from", i.at)
			return
		}
		if err != nil {
			i.fail(ctx, "watch", err)
			continue
		}
		i.succeed()
		for _, change := range changes.Events {
			i.sink.Apply(change, i.afterOutage())
		}
		i.at = max(i.at, changes.At)
		if len(changes.Events) > 0 {
			objectstore.Pause(ctx, gatherTime)
		}
	}
}

// errRegained ends a watch from before an outage of the store.
var errRegained = merry.Sentinel("store regained")

// watch waits for changes, but not beyond the end of an outage.
func (i *Informer) watch(ctx context.Context) (objectstore.Changes, error) {
	var regained <-chan struct{}
	if i.Regained != nil {
		regained = i.Regained()
	}
	type result struct {
		changes objectstore.Changes
		err     error
	}
	results := make(chan result, 1)
	at := i.at
	go func() {
		changes, err := i.store.Watch(ctx, i.kind, at, watchWait)
		results <- result{changes, err}
	}()
	select {
	case ended := <-results:
		return ended.changes, ended.err
	case <-regained:
		return objectstore.Changes{}, errRegained
	case <-ctx.Done():
		return objectstore.Changes{}, ctx.Err()
	}
}

func (i *Informer) afterOutage() bool { return time.Since(i.lastFailed) < outageMemory }

func (i *Informer) succeed() {
	if i.failing {
		i.failing = false
		i.logger.Info("store regained", "kind", i.kind)
	}
}

func (i *Informer) fail(ctx context.Context, call string, err error) {
	if ctx.Err() != nil {
		return
	}
	i.lastFailed = time.Now()
	if !i.failing {
		i.failing = true
		i.logger.Error(err, "store lost", "kind", i.kind, "call", call)
	}
	if i.Failed != nil {
		i.Failed()
	}
	objectstore.Pause(ctx, retryPause)
}
