package lease

import (
	"context"
	"sync"
	"time"
)

const (
	// PollInterval is the time between attempts of a node that has work to do and not
	// the lease.
	PollInterval = 100 * time.Millisecond
	// minRemaining is what must be left of the lease for a call. A busy holder so
	// renews the lease every SendWindow less this, 2.1 s.
	minRemaining = 400 * time.Millisecond
	// maxRetryDelay bounds the time between attempts to get the lease while the store
	// does not answer.
	maxRetryDelay = time.Second
)

// Keeper decides when this node tries to get the lease, and lets its calls pass only
// while it holds it. It is safe for use by many goroutines.
type Keeper struct {
	config Config

	// acquiring is held during an attempt to get the lease.
	acquiring sync.Mutex
	// retryDelay is the time before the next attempt after one that failed, and
	// reportedWait the revision whose wait was last logged. acquiring guards them.
	retryDelay   time.Duration
	reportedWait uint64

	mutex sync.Mutex
	// waitingSince is since when each duty has had work that nobody has done.
	waitingSince map[string]time.Time
	// openCalls counts the calls under way, and unansweredAt is when one last ended
	// without an answer.
	openCalls    int
	unansweredAt time.Time
	wake         chan struct{}
}

// NewKeeper returns a keeper for a node's view of the lease.
func NewKeeper(config Config) *Keeper {
	return &Keeper{config: config, waitingSince: map[string]time.Time{}, wake: make(chan struct{})}
}

// Ready gets or renews the lease for at least one call, or returns when to try again. It
// is called while a duty has work to do.
func (k *Keeper) Ready(ctx context.Context, duty string) (ready bool, again time.Duration) {
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

// Idle records that a duty has nothing to do.
func (k *Keeper) Idle(duty string) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	delete(k.waitingSince, duty)
}

// markWaiting records that a duty has work, and returns since when it has had some that
// nobody has done.
func (k *Keeper) markWaiting(duty string) time.Time {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.waitingSince[duty].IsZero() {
		k.waitingSince[duty] = k.config.Clock()
	}
	return k.waitingSince[duty]
}

// acquire tries once to get the lease. acquiring must be held.
func (k *Keeper) acquire(ctx context.Context, duty string) (ready bool, again time.Duration) {
	known := k.config.Lease.LastObserved().Revision
	wait, err := k.config.Lease.Acquire(ctx)
	if wait > 0 && k.config.Lease.LastObserved().Revision != known && !k.IsCandidate() {
		// The holder is at work and sends this node no heartbeats.
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
	token, _ := k.config.Lease.Valid()
	k.config.Logger.Info("duty lease acquired", "duty", duty, "token", token)
	k.announce()
	return true, 0
}

// restartDelays counts work that has waited as new.
func (k *Keeper) restartDelays() {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	clear(k.waitingSince)
}

// reportWait logs and announces, once for each revision, that this node waits for its
// holder: a restarted holder may not know that it is the one who need not wait.
func (k *Keeper) reportWait(wait time.Duration) {
	last := k.config.Lease.LastObserved()
	if last.Revision == k.reportedWait {
		return
	}
	k.reportedWait = last.Revision
	k.config.Logger.Info("waiting for the duty lease", "holder", last.Holder, "revision", last.Revision, "waitMs", wait.Milliseconds())
	k.announce()
}

// Observe takes an observation that another node has sent. A node may so learn that its
// own previous process held the lease, and that it need not wait for it.
func (k *Keeper) Observe(seen Observation) {
	if seen.Revision == 0 || !k.config.Lease.Observe(seen) {
		return
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if seen.Holder != k.config.Node && !seen.Released {
		// The holder is at work: a node that is not a candidate gets no other sign
		// of that.
		if !k.IsCandidate() {
			clear(k.waitingSince)
		}
		return
	}
	close(k.wake)
	k.wake = make(chan struct{})
}

// Woken returns a channel that is closed when this node learns that it need not
// wait for the lease.
func (k *Keeper) Woken() <-chan struct{} {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.wake
}

// LastObserved returns the newest revision of the lease that this node knows of.
func (k *Keeper) LastObserved() Observation { return k.config.Lease.LastObserved() }

// Tenure returns the token of this node's last renewal while no other node is
// known to have followed it, else 0. Calls may need a further renewal.
func (k *Keeper) Tenure() uint64 { return k.config.Lease.Tenure() }
