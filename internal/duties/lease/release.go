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
func (k *Elector) Release(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	k.acquiring.Lock()
	defer k.acquiring.Unlock()
	mayRelease := k.config.Lease.stop()
	if !mayRelease || !k.awaitCalls(ctx) {
		return
	}
	if err := k.config.Lease.release(ctx); err != nil {
		k.config.Logger.Info("duty lease not released", "error", err.Error())
		return
	}
	k.config.Logger.Info("duty lease released")
	k.announce()
}

// awaitCalls waits until no call is open, and reports whether none can still arrive.
func (k *Elector) awaitCalls(ctx context.Context) bool {
	for {
		open, late := k.pendingCalls()
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

// pendingCalls returns the number of open calls, and whether a call that ended without an
// answer may still arrive.
func (k *Elector) pendingCalls() (open int, late bool) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	late = !k.unansweredAt.IsZero() && k.config.Clock.Since(k.unansweredAt) < lateCallPeriod
	return k.openCalls, late
}
