package lease

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/clock"
)

const (
	// LookPeriod is the time between looks of a node that has a duty and not the
	// lease.
	LookPeriod = 100 * time.Millisecond
	// reserve is the time that must be left of the lease for a call. A holder at
	// work so renews the lease every SendWindow less this, 2.1 s.
	reserve = 400 * time.Millisecond
	// longestRetry bounds the time between tries to get the lease while the store
	// does not answer.
	longestRetry = time.Second
)

// Config is what a Keeper needs.
type Config struct {
	Node  string
	Lease *Lease
	// Clock is that of the lease.
	Clock  clock.Clock
	Logger klog.Logger
	// Nodes lists the nodes that may hold the lease, and Silence is for how long one has
	// not been heard.
	Nodes   func() []string
	Silence func(node string) time.Duration
	// Tell tells the nodes named, or all where they are few, what this one has seen of
	// the lease.
	Tell func(nodes []string)
}

// Keeper decides when this node goes for the lease, and lets its calls pass only
// while it holds it. It is safe for use by many goroutines.
type Keeper struct {
	config Config

	// acquiring is held during a try to get the lease.
	acquiring sync.Mutex
	// retry is the time before the next try after one that failed, and awaited
	// the revision that was last told to be waited for. acquiring guards them.
	retry   time.Duration
	awaited uint64

	mutex sync.Mutex
	// since is since when each duty has had work that nobody has done.
	since map[string]time.Time
	// open counts the calls under way, and unansweredAt is when one last ended
	// without an answer.
	open         int
	unansweredAt time.Time
	wake         chan struct{}
}

// NewKeeper returns a keeper for a node's view of the lease.
func NewKeeper(config Config) *Keeper {
	return &Keeper{config: config, since: map[string]time.Time{}, wake: make(chan struct{})}
}

// Ready has the lease for at least one call, or tells when to look again. It is
// called while a duty has work to do.
func (k *Keeper) Ready(ctx context.Context, duty string) (ready bool, again time.Duration) {
	since := k.workSince(duty)
	if k.config.Lease.Stopped() {
		return false, longestRetry
	}
	if !k.myTurn(since) {
		return false, LookPeriod
	}
	k.acquiring.Lock()
	defer k.acquiring.Unlock()
	if k.config.Lease.Remaining() >= reserve {
		return true, 0
	}
	return k.acquire(ctx, duty)
}

// workSince is since when a duty has had work that nobody has done: now, unless
// it had some before.
func (k *Keeper) workSince(duty string) time.Time {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.since[duty].IsZero() {
		k.since[duty] = k.config.Clock()
	}
	return k.since[duty]
}

// acquire tries once to get the lease. acquiring must be held.
func (k *Keeper) acquire(ctx context.Context, duty string) (ready bool, again time.Duration) {
	known := k.config.Lease.Seen().Revision
	pause, err := k.config.Lease.Acquire(ctx)
	if pause > 0 && k.config.Lease.Seen().Revision != known && !k.IsCandidate() {
		// The holder is at work, and does not tell this node.
		k.forgetWork()
	}
	if err != nil {
		k.retry = min(max(LookPeriod, 2*k.retry), longestRetry)
		k.config.Logger.Info("duty lease not acquired", "duty", duty, "error", err.Error(), "retryMs", k.retry.Milliseconds())
		return false, k.retry
	}
	k.retry = 0
	if pause > 0 {
		k.noteAwaited(pause)
		return false, pause
	}
	token, _ := k.config.Lease.Valid()
	k.config.Logger.Info("duty lease acquired", "duty", duty, "token", token)
	k.tell()
	return true, 0
}

// forgetWork has work that has waited count as new.
func (k *Keeper) forgetWork() {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	clear(k.since)
}

// Idle tells that a duty has nothing to do.
func (k *Keeper) Idle(duty string) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	delete(k.since, duty)
}

// noteAwaited tells once for each revision that this node waits for its holder,
// in the log and to the other nodes: the holder may have been started anew since
// and not know that it is the one who need not wait.
func (k *Keeper) noteAwaited(pause time.Duration) {
	seen := k.config.Lease.Seen()
	if seen.Revision == k.awaited {
		return
	}
	k.awaited = seen.Revision
	k.config.Logger.Info("waiting for the duty lease", "holder", seen.Holder, "revision", seen.Revision, "waitMs", pause.Milliseconds())
	k.tell()
}

// Observe takes another node's word of the lease. A node may so learn that it
// holds the lease itself: the process before this one did, and the same node need
// not wait for it.
func (k *Keeper) Observe(seen Sighting) {
	if seen.Revision == 0 || !k.config.Lease.Observe(seen) {
		return
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if seen.Holder != k.config.Node && !seen.Released {
		// The holder is at work: a node that is no candidate hears of nothing
		// else that it does.
		if !k.IsCandidate() {
			clear(k.since)
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

// Seen returns the newest word of the lease that this node has.
func (k *Keeper) Seen() Sighting { return k.config.Lease.Seen() }

// Tenure returns the token of this node's last renewal while no other node is
// known to have followed it, else 0. Calls may need a further renewal.
func (k *Keeper) Tenure() uint64 { return k.config.Lease.Tenure() }
