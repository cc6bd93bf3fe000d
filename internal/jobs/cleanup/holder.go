package cleanup

import (
	"context"
	"time"

	"github.com/pathtally/pathtally/internal/clock"
	"github.com/pathtally/pathtally/internal/duties/lease"
	"github.com/pathtally/pathtally/internal/store/objectstore"
)

const (
	dutyName = "cleanup"
	// silentIntervals is the number of intervals without a renewal of the lease after which a successor
	// performs the duty itself. The holder renews the lease at each of its passes.
	silentIntervals = 10
	// acquireTimeout bounds the attempts of one pass to acquire the lease. Each successor waits for those
	// before it in rank.
	acquireTimeout = 10 * time.Second
)

// LeaseHolder is the Holder of a node that takes part in the election for the duty lease. Ended jobs are
// no reason to take the lease from another node: only the last holder acquires it, or a successor if the
// last holder is silent. It is used by one goroutine.
type LeaseHolder struct {
	elector *lease.Elector
	clock   clock.Clock
	// interval is the time between two passes.
	interval time.Duration
	// revision is the last observed revision of the lease, seen since the time since.
	revision uint64
	since    time.Time
}

var _ Holder = (*LeaseHolder)(nil)

// NewLeaseHolder returns the Holder of a node for a retention time, of which 0 means DefaultRetention.
func NewLeaseHolder(elector *lease.Elector, clock clock.Clock, retention time.Duration) *LeaseHolder {
	return &LeaseHolder{elector: elector, clock: clock, interval: passInterval(retention), since: clock()}
}

// Hold implements Holder.
func (h *LeaseHolder) Hold(ctx context.Context) bool {
	for began := h.clock(); h.mayAcquire() && h.clock().Sub(began) < acquireTimeout; {
		ready, retryAfter := h.elector.EnsureHeld(ctx, dutyName)
		if ready {
			return true
		}
		if !objectstore.Sleep(ctx, max(retryAfter, lease.PollInterval)) {
			return false
		}
	}
	h.elector.MarkIdle(dutyName)
	return false
}

// mayAcquire reports whether this node is the last holder of the lease, or may succeed one that is
// silent.
func (h *LeaseHolder) mayAcquire() bool {
	if h.elector.TenureToken() != 0 {
		return true
	}
	if revision := h.elector.LastObserved().Revision; revision != h.revision {
		h.revision, h.since = revision, h.clock()
	}
	return h.elector.IsCandidate() && h.clock().Sub(h.since) >= silentIntervals*h.interval
}

// BeginCall implements Holder.
func (h *LeaseHolder) BeginCall() (done func(answered bool), permitted bool) {
	permit, valid := h.elector.BeginCall()
	if !valid {
		return nil, false
	}
	return permit.Done, true
}

// MarkIdle implements Holder.
func (h *LeaseHolder) MarkIdle() { h.elector.MarkIdle(dutyName) }
