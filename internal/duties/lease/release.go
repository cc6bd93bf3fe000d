package lease

import (
	"context"
	"time"
)

const (
	// lateCallPeriod is the time during which a call that was not answered may still
	// arrive. Receivers execute none later (docs/PLATFORM.md, "Who runs a job").
	lateCallPeriod = 8 * time.Second
	// releaseTimeout bounds the release of the lease.
	releaseTimeout = 1200 * time.Millisecond
	// releasePollInterval is the time between checks for open calls.
	releasePollInterval = 10 * time.Millisecond
)

// Release ends this node's duties for a graceful shutdown. It releases the lease if that is
// safe, so that the successor need not wait; otherwise the lease expires.
func (e *Elector) Release(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	e.acquireMutex.Lock()
	defer e.acquireMutex.Unlock()
	mayRelease := e.config.Lease.stop()
	if !mayRelease || !e.awaitCalls(ctx) {
		return
	}
	if err := e.config.Lease.release(ctx); err != nil {
		e.config.Logger.Info("failed to release duty lease", "error", err.Error())
		return
	}
	e.config.Logger.Info("duty lease released")
	e.announce()
}

// awaitCalls waits until no call is open, and reports whether none can still arrive.
func (e *Elector) awaitCalls(ctx context.Context) bool {
	for {
		open, late := e.pendingCalls()
		if late {
			return false
		}
		if open == 0 {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(releasePollInterval):
		}
	}
}

// pendingCalls returns the number of open calls, and whether a call that ended without a
// response may still arrive.
func (e *Elector) pendingCalls() (open int, late bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	late = !e.unansweredAt.IsZero() && e.config.Clock.Since(e.unansweredAt) < lateCallPeriod
	return e.openCalls, late
}
