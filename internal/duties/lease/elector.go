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
	// renewed before the next call. So a busy holder renews it every 2.1 s, SendWindow less
	// minRemaining.
	minRemaining = 400 * time.Millisecond
	// maxRetryDelay bounds the backoff between attempts to acquire the lease while the
	// store fails.
	maxRetryDelay = time.Second
)

// Elector decides when this node tries to acquire the lease, and permits calls only while
// the node holds it. It is safe for concurrent use.
type Elector struct {
	config Config

	// acquireMutex is held during an attempt to acquire the lease. It guards the next two
	// fields.
	acquireMutex sync.Mutex
	// retryDelay is the backoff after a failed attempt, and loggedWait the last revision
	// for which a wait was logged.
	retryDelay time.Duration
	loggedWait uint64

	mutex sync.Mutex
	// pendingSince is the time since which each duty has had pending work.
	pendingSince map[string]time.Time
	// openCalls is the number of calls in flight, and unansweredAt the time when a call
	// last ended without a response.
	openCalls    int
	unansweredAt time.Time
	available    chan struct{}
}

// NewElector returns an Elector for a node's view of the lease.
func NewElector(config Config) *Elector {
	return &Elector{config: config, pendingSince: map[string]time.Time{}, available: make(chan struct{})}
}

// EnsureHeld acquires or renews the lease if necessary, and reports whether it is valid for
// long enough to send a call. If not, retryAfter is the time until the next attempt. It is
// called while a duty has work to do.
func (e *Elector) EnsureHeld(ctx context.Context, duty string) (ready bool, retryAfter time.Duration) {
	since := e.markPending(duty)
	if e.config.Lease.Stopped() {
		return false, maxRetryDelay
	}
	if !e.mayAcquire(since) {
		return false, PollInterval
	}
	e.acquireMutex.Lock()
	defer e.acquireMutex.Unlock()
	if e.config.Lease.Remaining() >= minRemaining {
		return true, 0
	}
	return e.acquire(ctx, duty)
}

// MarkIdle records that a duty has no pending work.
func (e *Elector) MarkIdle(duty string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	delete(e.pendingSince, duty)
}

// markPending records that a duty has pending work, and returns the time since which it has
// had some.
func (e *Elector) markPending(duty string) time.Time {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.pendingSince[duty].IsZero() {
		e.pendingSince[duty] = e.config.Clock()
	}
	return e.pendingSince[duty]
}

// acquire tries once to acquire the lease. acquireMutex must be held.
func (e *Elector) acquire(ctx context.Context, duty string) (ready bool, retryAfter time.Duration) {
	lastRevision := e.config.Lease.LastObserved().Revision
	wait, err := e.config.Lease.Acquire(ctx)
	if wait > 0 && e.config.Lease.LastObserved().Revision != lastRevision && !e.IsCandidate() {
		// The holder has renewed the lease. It is active although it sends no heartbeats
		// to this node.
		e.restartTakeoverDelays()
	}
	if err != nil {
		e.retryDelay = min(max(PollInterval, 2*e.retryDelay), maxRetryDelay)
		e.config.Logger.Info("failed to acquire duty lease", "duty", duty, "error", err.Error(), "retryMs", e.retryDelay.Milliseconds())
		return false, e.retryDelay
	}
	e.retryDelay = 0
	if wait > 0 {
		e.reportWait(wait)
		return false, wait
	}
	token, _ := e.config.Lease.ValidToken()
	e.config.Logger.Info("duty lease acquired", "duty", duty, "token", token)
	e.announce()
	return true, 0
}

// restartTakeoverDelays restarts the takeover delays of all duties by treating their pending
// work as new.
func (e *Elector) restartTakeoverDelays() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	clear(e.pendingSince)
}

// reportWait logs that this node waits to take over the lease, and announces its observation,
// once for each revision. The announcement tells a restarted holder that it is the holder
// and need not wait.
func (e *Elector) reportWait(wait time.Duration) {
	last := e.config.Lease.LastObserved()
	if last.Revision == e.loggedWait {
		return
	}
	e.loggedWait = last.Revision
	e.config.Logger.Info("waiting to take over duty lease", "holder", last.Holder, "revision", last.Revision, "waitMs", wait.Milliseconds())
	e.announce()
}

// Observe applies an observation that another node has sent. It may show that the previous
// process of this node held the lease, so that this node need not wait.
func (e *Elector) Observe(observed Observation) {
	if observed.Revision == 0 || !e.config.Lease.Observe(observed) {
		return
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if observed.Holder != e.config.Node && !observed.Released {
		// The holder is active. A node that is not a candidate learns it in no other way.
		if !e.IsCandidate() {
			clear(e.pendingSince)
		}
		return
	}
	close(e.available)
	e.available = make(chan struct{})
}

// Available returns a channel that is closed when this node learns that it need not wait for
// the lease.
func (e *Elector) Available() <-chan struct{} {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.available
}

// LastObserved returns the newest observation of the lease that this node knows of.
func (e *Elector) LastObserved() Observation { return e.config.Lease.LastObserved() }

// HeldSince returns the time since which neither another node nor a previous process of this
// node has held the lease, and whether calls may be sent now.
func (e *Elector) HeldSince() (since time.Time, valid bool) { return e.config.Lease.HeldSince() }

// TenureToken returns the fencing token of this node's tenure, or 0 if it has none. The lease
// may have to be renewed before the next call.
func (e *Elector) TenureToken() uint64 { return e.config.Lease.TenureToken() }
