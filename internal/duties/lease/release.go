package lease

import (
	"context"
	"time"
)

const (
	// unansweredMemory is for how long a call without an answer may yet arrive:
	// none is carried out later (docs/PLATFORM.md, "Who runs a job").
	unansweredMemory = 8 * time.Second
	// releaseTime bounds the giving up of the lease, and releaseLook is the time
	// between looks at the calls still open.
	releaseTime = 1200 * time.Millisecond
	releaseLook = 10 * time.Millisecond
)

// Release ends this node's duties for a planned stop. The lease is given up if
// that is safe, so that a successor need not wait; else it runs out.
func (k *Keeper) Release(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, releaseTime)
	defer cancel()
	k.acquiring.Lock()
	defer k.acquiring.Unlock()
	mayRelease := k.config.Lease.stop()
	if !mayRelease || !k.callsEnded(ctx) {
		return
	}
	if err := k.config.Lease.release(ctx); err != nil {
		k.config.Logger.Info("duty lease not released", "error", err.Error())
		return
	}
	k.config.Logger.Info("duty lease released")
	k.tell()
}

// callsEnded waits until no call is open, and tells whether none may arrive yet.
func (k *Keeper) callsEnded(ctx context.Context) bool {
	for {
		k.mutex.Lock()
		open, late := k.open, k.config.Clock.Since(k.unansweredAt) < unansweredMemory && !k.unansweredAt.IsZero()
		k.mutex.Unlock()
		if late {
			return false
		}
		if open == 0 {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(releaseLook):
		}
	}
}
