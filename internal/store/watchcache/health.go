package watchcache

import (
	"context"
	"errors"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/store/objectstore"
)

const (
	// probePeriod is the time between two questions of a reading node to the
	// store, and probeTime how long one may take. Together they bound for how
	// long after an outage begins its followers go without news.
	// troubledPeriod is the time between two questions during one. Questions are
	// answered from an old state, which costs a tenth of a call.
	probePeriod    = 500 * time.Millisecond
	probeTime      = 600 * time.Millisecond
	troubledPeriod = 150 * time.Millisecond
)

// storeHealth remembers whether the store answers this node. It is safe for use
// by many goroutines.
type storeHealth struct {
	logger klog.Logger
	// notify is called at each change.
	notify   func()
	mutex    sync.Mutex
	troubled bool
	failedAt time.Time
	// failedAsked and answeredAsked are when the newest call without an answer and
	// the newest one with an answer were sent.
	failedAsked   time.Time
	answeredAsked time.Time
	regained      chan struct{}
}

func newStoreHealth(logger klog.Logger, notify func()) *storeHealth {
	return &storeHealth{logger: logger, notify: notify, regained: make(chan struct{})}
}

// noteFailed records that a call sent at an instant had no answer. One that is older
// than a question that was answered says nothing of now: calls sent during an outage
// fail long after its end.
func (h *storeHealth) noteFailed(asked time.Time) {
	h.mutex.Lock()
	h.failedAt = time.Now()
	changed := false
	if asked.After(h.answeredAsked) {
		changed = !h.troubled
		h.troubled, h.failedAsked = true, latest(h.failedAsked, asked)
	}
	h.mutex.Unlock()
	if changed {
		h.notify()
	}
}

// noteAnswered records the answer to a question sent at an instant. After an outage it
// has everybody who waits for an old answer ask anew.
func (h *storeHealth) noteAnswered(asked time.Time) {
	h.mutex.Lock()
	h.answeredAsked = latest(h.answeredAsked, asked)
	changed := h.troubled && !asked.Before(h.failedAsked)
	if changed {
		h.troubled = false
		close(h.regained)
		h.regained = make(chan struct{})
	}
	h.mutex.Unlock()
	if changed {
		h.logger.Info("store answers again")
		h.notify()
	}
}

// latest is the later of two instants.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// lastFailed is when a call was last without an answer.
func (h *storeHealth) lastFailed() time.Time {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.failedAt
}

// isTroubled tells whether the last question had no answer.
func (h *storeHealth) isTroubled() bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.troubled
}

// Regained returns a channel that is closed when the store answers again after
// it did not.
func (h *storeHealth) Regained() <-chan struct{} {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.regained
}

// answers asks the store something small, which may be answered from an old
// state, and tells whether an answer came.
func answers(ctx context.Context, store objectstore.Store, kind, name string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTime)
	defer cancel()
	_, err := store.Get(ctx, kind, name, objectstore.MayBeStale)
	return err == nil || errors.Is(err, objectstore.ErrNotFound)
}

// probe asks the store until the context ends. Watches alone do not show an
// outage: they wait for long in any case. During one, questions are asked beside those
// that have no answer yet, so that its end shows within one period.
func (h *storeHealth) probe(ctx context.Context, store objectstore.Store, kind, name string) {
	var open sync.WaitGroup
	defer open.Wait()
	for {
		if !h.isTroubled() {
			if !objectstore.Sleep(ctx, probePeriod) {
				return
			}
			h.ask(ctx, store, kind, name)
			continue
		}
		if !objectstore.Sleep(ctx, troubledPeriod) {
			return
		}
		open.Go(func() { h.ask(ctx, store, kind, name) })
	}
}

// ask asks the store once.
func (h *storeHealth) ask(ctx context.Context, store objectstore.Store, kind, name string) {
	asked := time.Now()
	answered := answers(ctx, store, kind, name)
	switch {
	case ctx.Err() != nil:
	case answered:
		h.noteAnswered(asked)
	default:
		h.noteFailed(asked)
	}
}
