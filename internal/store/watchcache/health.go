package watchcache

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/store/objectstore"
)

// storeHealth tracks whether the store answers this node. It is safe for concurrent use.
type storeHealth struct {
	logger klog.Logger
	// notify is called after each change of available to unavailable or back.
	notify func()

	mutex       sync.Mutex
	unavailable bool
	// failedAt is when a call last failed, and suspectedAt when the node that was followed
	// last did not vouch for its copies.
	failedAt    time.Time
	suspectedAt time.Time
	// failedCallSent and answeredCallSent are when the newest failed and the newest
	// answered call were sent.
	failedCallSent   time.Time
	answeredCallSent time.Time
	// recovery is closed at the end of an outage.
	recovery chan struct{}
}

func newStoreHealth(logger klog.Logger, notify func()) *storeHealth {
	return &storeHealth{logger: logger, notify: notify, recovery: make(chan struct{})}
}

// recordFailure records that a call sent at the given time was not answered. It doesn't
// start an outage if a later call was answered: calls sent during an outage fail long
// after its end.
func (h *storeHealth) recordFailure(sentAt time.Time) {
	h.mutex.Lock()
	h.failedAt = time.Now()
	changed := false
	if sentAt.After(h.answeredCallSent) {
		changed = !h.unavailable
		h.unavailable = true
		h.failedCallSent = latest(h.failedCallSent, sentAt)
	}
	h.mutex.Unlock()
	if changed {
		h.notify()
	}
}

// recordAnswer records that a call sent at the given time was answered. An answer to a
// call sent after the last failed one ends the outage.
func (h *storeHealth) recordAnswer(sentAt time.Time) {
	h.mutex.Lock()
	h.answeredCallSent = latest(h.answeredCallSent, sentAt)
	recovered := h.unavailable && !sentAt.Before(h.failedCallSent)
	if recovered {
		h.unavailable = false
		close(h.recovery)
		h.recovery = make(chan struct{})
	}
	h.mutex.Unlock()
	if recovered {
		h.logger.Info("store answers again")
		h.notify()
	}
}

// recordSuspect records that the copies may be stale because the node that was followed
// was silent or unsure.
func (h *storeHealth) recordSuspect() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.suspectedAt = time.Now()
}

// lastOutage returns when the store last did not answer, here or at the node that was
// followed; zero for never.
func (h *storeHealth) lastOutage() time.Time {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return latest(h.failedAt, h.suspectedAt)
}

// isUnavailable reports whether the store doesn't answer this node.
func (h *storeHealth) isUnavailable() bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.unavailable
}

// recovered returns a channel that is closed at the end of the current or next outage.
func (h *storeHealth) recovered() <-chan struct{} {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.recovery
}

// monitor probes the store until the context ends. Watches don't show an outage, since they
// are held for seconds also in ordinary operation. During an outage it doesn't wait for open
// probes, so that it sees the end of the outage within outageProbeInterval.
func (h *storeHealth) monitor(ctx context.Context, probe storeProbe) {
	var open sync.WaitGroup
	defer open.Wait()
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
		open.Go(func() { h.check(ctx, probe) })
	}
}

// check probes the store once and records the result.
func (h *storeHealth) check(ctx context.Context, probe storeProbe) {
	sentAt := time.Now()
	answered := probe.answered(ctx)
	switch {
	case ctx.Err() != nil:
	case answered:
		h.recordAnswer(sentAt)
	default:
		h.recordFailure(sentAt)
	}
}

// latest returns the later of two instants.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
