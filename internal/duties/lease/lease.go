package lease

import (
	"sync"
	"time"

	"github.com/pathtally/pathtally/internal/clock"
	"github.com/pathtally/pathtally/internal/store/objectstore"
)

// Lease is this node's view of the lease together with the store access that acquires and
// renews it. It is safe for concurrent use.
type Lease struct {
	nonce string
	store objectstore.Store
	clock clock.Clock

	mutex  sync.Mutex
	state  state
	writes uint64
}

// NewLease returns a Lease that has observed nothing yet. The nonce distinguishes the
// processes of a node. A takeover gap of 0 means the default. The clock must keep counting
// while the machine is suspended, because another node may acquire the lease meanwhile.
func NewLease(node, nonce string, takeoverGap time.Duration, store objectstore.Store, bootClock clock.Clock) *Lease {
	lease := &Lease{nonce: nonce, store: store, clock: bootClock, state: state{node: node}}
	lease.SetTakeoverGap(takeoverGap)
	return lease
}

// SetTakeoverGap sets the minimum time between the last call of another holder and the first
// call of this node; 0 means the default.
func (l *Lease) SetTakeoverGap(takeoverGap time.Duration) {
	if takeoverGap <= 0 {
		takeoverGap = DefaultTakeoverGap
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.state.takeoverGap = takeoverGap
}

// ValidToken returns the fencing token, and whether calls may be sent now.
func (l *Lease) ValidToken() (uint64, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.state.validToken(l.clock())
}

// HeldSince returns the time since which neither another node nor a previous process of this
// node has held the lease, and whether calls may be sent now.
func (l *Lease) HeldSince() (since time.Time, valid bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	_, valid = l.state.validToken(l.clock())
	return l.state.heldSince, valid
}

// TenureToken returns the fencing token of this node's tenure, or 0 if it has none. A tenure
// begins when this node acquires the lease. It ends when another node is known to hold the
// lease, when a renewal fails or is not answered, or when this node stops performing duties,
// but not when the send window ends.
func (l *Lease) TenureToken() uint64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.state.stopped {
		return 0
	}
	return l.state.token
}

// Stopped reports whether this node has stopped performing duties.
func (l *Lease) Stopped() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.state.stopped
}

// Remaining returns how long calls may still be sent, 0 if none may be sent.
func (l *Lease) Remaining() time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if _, valid := l.state.validToken(l.clock()); !valid {
		return 0
	}
	return l.clock.Until(l.state.sendUntil)
}

// stop ends this node's duties, and reports whether the lease may be released.
func (l *Lease) stop() (mayRelease bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	mayRelease = l.state.mayRelease(l.clock()) && !l.state.stopped
	l.state.stop()
	return mayRelease
}
