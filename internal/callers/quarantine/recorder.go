package quarantine

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/clock"
	"github.com/pathtally/pathtally/internal/store/objectstore"
)

const (
	// writeRetryDelay is the delay before a failed write is retried. Until it succeeds,
	// nodes that start do not learn of the quarantine.
	writeRetryDelay = 500 * time.Millisecond
	// writeTimeout is the timeout of one read and write of the record.
	writeTimeout = 3 * time.Second
)

// pendingChange is a pending change to the stored record for one request.
type pendingChange struct {
	// remove removes the request from the record; otherwise it is added.
	remove bool
	// start is the start of the quarantine.
	start time.Time
}

// recorder writes pending changes to the stored record and retries until they succeed. It is
// safe for concurrent use.
type recorder struct {
	store    objectstore.Store
	clock    clock.Clock
	duration time.Duration
	logger   klog.Logger
	wake     chan struct{}

	mutex   sync.Mutex
	pending map[Fingerprint]pendingChange
}

func newRecorder(store objectstore.Store, now clock.Clock, duration time.Duration, logger klog.Logger) *recorder {
	return &recorder{store: store, clock: now, duration: duration, logger: logger, wake: make(chan struct{}, 1), pending: map[Fingerprint]pendingChange{}}
}

// setPending schedules a change for a request. It replaces a pending change for the same
// request.
func (r *recorder) setPending(request Fingerprint, change pendingChange) {
	r.mutex.Lock()
	r.pending[request] = change
	r.mutex.Unlock()
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Run writes pending changes until the context ends.
func (r *recorder) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
		}
		for r.hasPending() {
			if err := r.write(ctx); err != nil {
				r.logger.Info("failed to write quarantine record, retrying", "error", err.Error(), "retryMs", writeRetryDelay.Milliseconds())
				if !objectstore.SleepWithJitter(ctx, writeRetryDelay) {
					return
				}
			}
		}
	}
}

// hasPending reports whether any change is pending.
func (r *recorder) hasPending() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.pending) > 0
}

// write tries once to write all pending changes. It replaces the record only if its revision
// is still the one that was read, so that changes by other nodes are not lost.
func (r *recorder) write(ctx context.Context) error {
	r.mutex.Lock()
	pending := maps.Clone(r.pending)
	r.mutex.Unlock()
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	current, err := r.store.Get(ctx, Kind, ObjectName, objectstore.Linearizable)
	isNew := errors.Is(err, objectstore.ErrNotFound)
	if err != nil && !isNew {
		return err
	}
	startTimes := map[Fingerprint]time.Time{}
	if !isNew {
		if startTimes, err = decodeRecord(current.Spec); err != nil {
			r.logger.Error(err, "failed to decode quarantine record or some of its entries, the next write drops them")
		}
	}
	if next, changed := r.apply(startTimes, pending); changed {
		if err := r.put(ctx, current, isNew, next); err != nil {
			return err
		}
	}
	r.dropWritten(pending)
	return nil
}

// apply returns the record with the pending changes applied and expired quarantines removed.
// changed is set if a pending change had an effect.
func (r *recorder) apply(startTimes map[Fingerprint]time.Time, pending map[Fingerprint]pendingChange) (next map[Fingerprint]time.Time, changed bool) {
	next = map[Fingerprint]time.Time{}
	for request, start := range startTimes {
		if r.clock.Since(start) < r.duration {
			next[request] = start
		}
	}
	for request, change := range pending {
		_, isListed := next[request]
		switch {
		case change.remove && isListed:
			delete(next, request)
			changed = true
		case !change.remove && !isListed && r.clock.Since(change.start) < r.duration:
			next[request] = change.start
			changed = true
		}
	}
	return next, changed
}

// put writes the record unless it has changed since it was read.
func (r *recorder) put(ctx context.Context, current objectstore.Object, isNew bool, next map[Fingerprint]time.Time) error {
	spec, err := encodeRecord(next)
	if err != nil {
		return &RecordError{Cause: err}
	}
	if isNew {
		_, err = r.store.Create(ctx, Kind, ObjectName, spec)
	} else {
		_, err = r.store.Replace(ctx, Kind, ObjectName, spec, current.Revision)
	}
	return err
}

// dropWritten drops the changes that have been written, unless they were replaced meanwhile.
func (r *recorder) dropWritten(written map[Fingerprint]pendingChange) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	maps.DeleteFunc(r.pending, func(request Fingerprint, change pendingChange) bool { return written[request] == change })
}
