package lease

import (
	"sync"
	"time"

	"github.com/pathtally/pathtally/internal/clock"
	"github.com/pathtally/pathtally/internal/store/objectstore"
)

// Lease is this node's view of the lease, and the calls to the store that keep
// it. It is safe for use by many goroutines.
type Lease struct {
	nonce string
	store objectstore.Store
	clock clock.Clock

	mutex  sync.Mutex
	state  state
	writes uint64
}

// NewLease returns a node's view of the lease that knows nothing yet. The nonce
// tells the processes of a node apart. A term of 0 means the default. The clock counts
// suspensions of the machine, after which the lease may be another node's.
func NewLease(node, nonce string, term time.Duration, store objectstore.Store, counting clock.Clock) *Lease {
	lease := &Lease{nonce: nonce, store: store, clock: counting, state: state{node: node}}
	lease.SetTerm(term)
	return lease
}

// SetTerm changes how long this node waits as a successor; 0 means the default.
func (l *Lease) SetTerm(term time.Duration) {
	if term <= 0 {
		term = DefaultTerm
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.state.term = term
}

// Valid returns the token if calls may be sent now.
func (l *Lease) Valid() (uint64, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.state.valid(l.clock())
}

// Held returns since when neither another node nor a previous process of this one has
// held the lease, and whether calls may be sent now.
func (l *Lease) Held() (since time.Time, valid bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	_, valid = l.state.valid(l.clock())
	return l.state.soleSince, valid
}

// Tenure returns the token of this node's last renewal while no other node is
// known to have followed it, else 0.
func (l *Lease) Tenure() uint64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.state.stopped {
		return 0
	}
	return l.state.token
}

// Stopped reports whether this node has given up its duties.
func (l *Lease) Stopped() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.state.stopped
}

// Remaining returns how long calls may still be sent, 0 if they may not.
func (l *Lease) Remaining() time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if _, valid := l.state.valid(l.clock()); !valid {
		return 0
	}
	return l.clock.Until(l.state.until)
}

// stop ends this node's tenure, and reports whether it may be released.
func (l *Lease) stop() (mayRelease bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	mayRelease = l.state.mayRelease(l.clock()) && !l.state.stopped
	l.state.stop()
	return mayRelease
}
