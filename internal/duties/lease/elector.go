package lease

import (
	"context"
	"sync"
	"time"
)

const (
	// PollInterval is the time between attempts of a node that has work to do but does not
	// hold the lease.
	PollInterval = 100 * time.Millisecond
	// minRemaining is the remaining part of the send window below which the lease is
	// renewed before the next call.
	minRemaining = 400 * time.Millisecond
	// maxRetryDelay bounds the backoff between attempts to acquire the lease while the
	// store fails.
	maxRetryDelay = time.Second
)

// Elector decides when this node tries to acquire the lease, and permits calls only while
// the node holds it. It is safe for concurrent use.
type Elector struct {
	config Config

	// acquiring is held during an attempt to acquire the lease. It guards the next two
	// fields.
	acquiring sync.Mutex
	// retryDelay is the backoff after a failed attempt, and reportedWait the last revision
	// for which a wait was logged.
	retryDelay   time.Duration
	reportedWait uint64

	mutex sync.Mutex
	// waitingSince is the time since which each duty has had pending work.
	waitingSince map[string]time.Time
	// openCalls is the number of calls in flight, and unansweredAt the time when a call
	// last ended without an answer.
	openCalls    int
	unansweredAt time.Time
	wake         chan struct{}
}

// NewElector returns an Elector for a node's view of the lease.
func NewElector(config Config) *Elector {
	return &Elector{config: config, waitingSince: map[string]time.Time{}, wake: make(chan struct{})}
}

// EnsureHeld acquires or renews the lease if necessary, and reports whether enough of it remains
// for at least one call; if not, the duration is the time until the next try. It is called
// while a duty has work to do.
func (k *Elector) EnsureHeld(ctx context.Context, duty string) (ready bool, again time.Duration) {
	since := k.markWaiting(duty)
	if k.config.Lease.Stopped() {
		return false, maxRetryDelay
	}
	if !k.isNext(since) {
		return false, PollInterval
	}
	k.acquiring.Lock()
	defer k.acquiring.Unlock()
	if k.config.Lease.Remaining() >= minRemaining {
		return true, 0
	}
	return k.acquire(ctx, duty)
}

// MarkIdle records that a duty has no pending work.
func (k *Elector) MarkIdle(duty string) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	delete(k.waitingSince, duty)
}

// markWaiting records that a duty has pending work, and returns the time since which it has
// had some.
func (k *Elector) markWaiting(duty string) time.Time {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.waitingSince[duty].IsZero() {
		k.waitingSince[duty] = k.config.Clock()
	}
	return k.waitingSince[duty]
}

// acquire tries once to acquire the lease. acquiring must be held.
func (k *Elector) acquire(ctx context.Context, duty string) (ready bool, again time.Duration) {
	known := k.config.Lease.LastObserved().Revision
	wait, err := k.config.Lease.Acquire(ctx)
	if wait > 0 && k.config.Lease.LastObserved().Revision != known && !k.IsCandidate() {
		// The holder has renewed the lease. It is active although it sends no heartbeats
		// to this node.
		k.restartDelays()
	}
	if err != nil {
		k.retryDelay = min(max(PollInterval, 2*k.retryDelay), maxRetryDelay)
		k.config.Logger.Info("duty lease not acquired", "duty", duty, "error", err.Error(), "retryMs", k.retryDelay.Milliseconds())
		return false, k.retryDelay
	}
	k.retryDelay = 0
	if wait > 0 {
		k.reportWait(wait)
		return false, wait
	}
	token, _ := k.config.Lease.ValidToken()
	k.config.Logger.Info("duty lease acquired", "duty", duty, "token", token)
	k.announce()
	return true, 0
}

// restartDelays restarts the takeover delays of all duties: their pending work counts as
// new.
func (k *Elector) restartDelays() {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	clear(k.waitingSince)
}

// reportWait logs that this node waits for the holder of the lease, and announces its
// observation, once for each revision. The announcement tells a restarted holder that it
// is the holder and need not wait.
func (k *Elector) reportWait(wait time.Duration) {
	last := k.config.Lease.LastObserved()
	if last.Revision == k.reportedWait {
		return
	}
	k.reportedWait = last.Revision
	k.config.Logger.Info("waiting for the duty lease", "holder", last.Holder, "revision", last.Revision, "waitMs", wait.Milliseconds())
	k.announce()
}

// Observe applies an observation that another node has sent. It may show that the previous
// process of this node held the lease, so that this node need not wait.
func (k *Elector) Observe(seen Observation) {
	if seen.Revision == 0 || !k.config.Lease.Observe(seen) {
		return
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if seen.Holder != k.config.Node && !seen.Released {
		// The holder is active. A node that is not a candidate learns it in no other way.
		if !k.IsCandidate() {
			clear(k.waitingSince)
		}
		return
	}
	close(k.wake)
	k.wake = make(chan struct{})
}

// Available returns a channel that is closed when this node learns that it need not wait for
// the lease.
func (k *Elector) Available() <-chan struct{} {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.wake
}

// LastObserved returns the newest observation of the lease that this node knows of.
func (k *Elector) LastObserved() Observation { return k.config.Lease.LastObserved() }

// TenureToken returns the token of this node's last renewal, or 0 once another node is known to
// have acquired the lease or this node's tenure has ended. The lease may have to be renewed
// before the next call.
func (k *Elector) TenureToken() uint64 { return k.config.Lease.TenureToken() }
