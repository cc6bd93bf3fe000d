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

// intent is a pending change to the stored record for one request.
type intent struct {
	// lift removes the request from the record; otherwise it is added.
	lift bool
	// at is the start of the quarantine.
	at time.Time
}

// recorder writes pending changes to the stored record and retries until they succeed. It is
// safe for concurrent use.
type recorder struct {
	store  objectstore.Store
	clock  clock.Clock
	span   time.Duration
	logger klog.Logger
	wake   chan struct{}

	mutex   sync.Mutex
	intents map[Fingerprint]intent
}

func newRecorder(store objectstore.Store, counting clock.Clock, span time.Duration, logger klog.Logger) *recorder {
	return &recorder{store: store, clock: counting, span: span, logger: logger, wake: make(chan struct{}, 1), intents: map[Fingerprint]intent{}}
}

// setIntent schedules a change for a request. It replaces a pending change for the same
// request.
func (r *recorder) setIntent(request Fingerprint, wanted intent) {
	r.mutex.Lock()
	r.intents[request] = wanted
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
		for r.isBehind() {
			if err := r.write(ctx); err != nil {
				r.logger.Info("quarantine not recorded yet", "error", err.Error(), "retryMs", writeRetryDelay.Milliseconds())
				if !objectstore.SleepWithJitter(ctx, writeRetryDelay) {
					return
				}
			}
		}
	}
}

// isBehind reports whether any change is pending.
func (r *recorder) isBehind() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.intents) > 0
}

// write tries once to write all pending changes. It replaces the record only if its revision
// is still the one that was read, so that changes by other nodes are not lost.
func (r *recorder) write(ctx context.Context) error {
	r.mutex.Lock()
	wanted := maps.Clone(r.intents)
	r.mutex.Unlock()
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	current, err := r.store.Get(ctx, Kind, ObjectName, objectstore.Linearizable)
	isNew := errors.Is(err, objectstore.ErrNotFound)
	if err != nil && !isNew {
		return err
	}
	began := map[Fingerprint]time.Time{}
	if !isNew {
		if began, err = decodeRecord(current.Spec); err != nil {
			r.logger.Error(err, "record of quarantined requests is replaced, without what cannot be read")
		}
	}
	if next, changed := r.apply(began, wanted); changed {
		if err := r.put(ctx, current, isNew, next); err != nil {
			return err
		}
	}
	r.dropWritten(wanted)
	return nil
}

// apply returns the record with the pending changes applied and expired quarantines removed.
// changed is set if a pending change had an effect.
func (r *recorder) apply(began map[Fingerprint]time.Time, wanted map[Fingerprint]intent) (next map[Fingerprint]time.Time, changed bool) {
	next = map[Fingerprint]time.Time{}
	for request, at := range began {
		if r.clock.Since(at) < r.span {
			next[request] = at
		}
	}
	for request, want := range wanted {
		_, isListed := next[request]
		switch {
		case want.lift && isListed:
			delete(next, request)
			changed = true
		case !want.lift && !isListed && r.clock.Since(want.at) < r.span:
			next[request] = want.at
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
func (r *recorder) dropWritten(written map[Fingerprint]intent) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	maps.DeleteFunc(r.intents, func(request Fingerprint, wanted intent) bool { return written[request] == wanted })
}
