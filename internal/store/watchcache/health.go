package watchcache

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/store/objectstore"
)

// storeHealth tracks whether the store is available to this node. It is safe for concurrent
// use.
type storeHealth struct {
	logger klog.Logger
	// notify is called after each change between available and unavailable.
	notify func()

	mutex       sync.Mutex
	unavailable bool
	// failedAt is when a call last failed. suspectedAt is when the followed node last did
	// not report current.
	failedAt    time.Time
	suspectedAt time.Time
	// lastFailureSentAt and lastSuccessSentAt are when the latest failed and the latest
	// successful call were sent.
	lastFailureSentAt time.Time
	lastSuccessSentAt time.Time
	// recovery is closed at the end of an outage.
	recovery chan struct{}
}

func newStoreHealth(logger klog.Logger, notify func()) *storeHealth {
	return &storeHealth{logger: logger, notify: notify, recovery: make(chan struct{})}
}

// recordFailure records that a call sent at the given time failed. It doesn't start an
// outage if a call sent later has succeeded: calls sent during an outage may fail long
// after its end.
func (h *storeHealth) recordFailure(sentAt time.Time) {
	h.mutex.Lock()
	h.failedAt = time.Now()
	changed := false
	if sentAt.After(h.lastSuccessSentAt) {
		changed = !h.unavailable
		h.unavailable = true
		h.lastFailureSentAt = latest(h.lastFailureSentAt, sentAt)
	}
	h.mutex.Unlock()
	if changed {
		h.notify()
	}
}

// recordSuccess records that a call sent at the given time succeeded. It ends the outage if
// that call was not sent before the last failed one.
func (h *storeHealth) recordSuccess(sentAt time.Time) {
	h.mutex.Lock()
	h.lastSuccessSentAt = latest(h.lastSuccessSentAt, sentAt)
	recovered := h.unavailable && !sentAt.Before(h.lastFailureSentAt)
	if recovered {
		h.unavailable = false
		close(h.recovery)
		h.recovery = make(chan struct{})
	}
	h.mutex.Unlock()
	if recovered {
		h.logger.Info("store available again")
		h.notify()
	}
}

// recordSuspect records that the caches may be stale because the followed node was silent
// or unsure.
func (h *storeHealth) recordSuspect() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.suspectedAt = time.Now()
}

// lastOutage returns when the store was last unavailable, to this node or to the followed
// one; zero for never.
func (h *storeHealth) lastOutage() time.Time {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return latest(h.failedAt, h.suspectedAt)
}

// isUnavailable reports whether the store is unavailable to this node.
func (h *storeHealth) isUnavailable() bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.unavailable
}

// recovered returns a channel that is closed at the end of the ongoing or next outage.
func (h *storeHealth) recovered() <-chan struct{} {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.recovery
}

// monitor probes the store until the context ends. Watches don't reveal an outage, since
// the store also holds them for seconds in normal operation. During an outage monitor
// doesn't wait for open probes, so that it detects the recovery within outageProbeInterval.
func (h *storeHealth) monitor(ctx context.Context, probe storeProbe) {
	var probes sync.WaitGroup
	defer probes.Wait()
	for {
		if !h.isUnavailable() {
			if !objectstore.Sleep(ctx, probeInterval) {
				return
			}
			h.check(ctx, probe)
			continue
		}
		if !objectstore.Sleep(ctx, outageProbeInterval) {
			return
		}
		probes.Go(func() { h.check(ctx, probe) })
	}
}

// check probes the store once and records the result.
func (h *storeHealth) check(ctx context.Context, probe storeProbe) {
	sentAt := time.Now()
	ok := probe.succeeds(ctx)
	switch {
	case ctx.Err() != nil:
	case ok:
		h.recordSuccess(sentAt)
	default:
		h.recordFailure(sentAt)
	}
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
