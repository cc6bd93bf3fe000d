package instance

import (
	"sync/atomic"
	"time"
)

// storeHealth remembers how the store answered this node. It is safe for use
// by many goroutines.
type storeHealth struct {
	started  time.Time
	answered atomic.Int64
	failed   atomic.Int64
}

func newStoreHealth() *storeHealth { return &storeHealth{started: time.Now()} }

func (h *storeHealth) noteAnswered() { h.answered.Store(int64(time.Since(h.started))) }

func (h *storeHealth) noteFailed() { h.failed.Store(int64(time.Since(h.started))) }

// Reachable tells whether the newest call was answered.
func (h *storeHealth) Reachable() bool { return h.answered.Load() >= h.failed.Load() }
