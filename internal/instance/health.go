package instance

import (
	"context"
	"errors"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/objectstore"
	"github.com/pathtally/pathtally/internal/peering"
)

const (
	// probePeriod is the time between two questions to the store, and probeTime
	// how long one may take. Together they bound for how long after an outage
	// this node may go without news.
	probePeriod = 700 * time.Millisecond
	probeTime   = 800 * time.Millisecond
)

// storeHealth remembers whether the store answers this node. It is safe for use
// by many goroutines.
type storeHealth struct {
	logger   klog.Logger
	mutex    sync.Mutex
	troubled bool
	regained chan struct{}
}

func newStoreHealth(logger klog.Logger) *storeHealth {
	return &storeHealth{logger: logger, regained: make(chan struct{})}
}

// noteFailed records a call without an answer.
func (h *storeHealth) noteFailed() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.troubled = true
}

// noteAnswered records an answer to a new question. After an outage it has
// everybody who waits for an old answer ask anew.
func (h *storeHealth) noteAnswered() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if !h.troubled {
		return
	}
	h.troubled = false
	close(h.regained)
	h.regained = make(chan struct{})
	h.logger.Info("store answers again")
}

// Regained returns a channel that is closed when the store answers again after
// it did not.
func (h *storeHealth) Regained() <-chan struct{} {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.regained
}

// probe asks the store something small, which may be answered from an old
// state, until the context ends. Watches alone do not show an outage: they wait
// for long in any case.
func (h *storeHealth) probe(ctx context.Context, store objectstore.Store, node string) {
	for objectstore.Sleep(ctx, probePeriod) {
		asked, cancel := context.WithTimeout(ctx, probeTime)
		_, err := store.Get(asked, peering.Kind, node, objectstore.MayBeStale)
		cancel()
		switch {
		case ctx.Err() != nil:
			return
		case err == nil, errors.Is(err, objectstore.ErrNotFound):
			h.noteAnswered()
		default:
			h.noteFailed()
		}
	}
}
