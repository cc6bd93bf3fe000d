package duty

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/pathtally/pathtally/internal/objectstore"
)

const (
	leaseKind = "leases"
	// leaseName is that of the first duty there was. It stays, so that nodes of
	// an earlier version contend for the same object.
	leaseName = "weight-orders"
)

// ErrStopped means that this node takes no more duties.
var ErrStopped = merry.Sentinel("node takes no more duties")

// leaseSpec is the stored lease.
type leaseSpec struct {
	Node  string `json:"node"`
	Nonce string `json:"nonce"`
	// Writes counts the writes of one process, so that each of them changes
	// the object and with it the revision that successors wait by.
	Writes uint64 `json:"writes"`
	// Released tells that the node sends no more calls.
	Released bool `json:"released,omitempty"`
}

// Lease is this node's view of the lease, and the calls to the store that keep
// it. It is safe for use by many goroutines.
type Lease struct {
	nonce string
	store objectstore.Store

	mutex  sync.Mutex
	state  state
	writes uint64
}

// NewLease returns a node's view of the lease that knows nothing yet. The nonce
// tells the processes of a node apart. A term of 0 means the default.
func NewLease(node, nonce string, term time.Duration, store objectstore.Store) *Lease {
	lease := &Lease{nonce: nonce, store: store, state: state{node: node}}
	lease.SetTerm(term)
	return lease
}

// SetTerm changes the wait of this node as a successor; 0 means the default.
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
	return l.state.valid(time.Now())
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

// Stopped tells whether this node takes no more duties.
func (l *Lease) Stopped() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.state.stopped
}

// Remaining is for how long calls may be sent.
func (l *Lease) Remaining() time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if _, valid := l.state.valid(time.Now()); !valid {
		return 0
	}
	return time.Until(l.state.until)
}

// Sighting is the newest word of the lease.
type Sighting struct {
	// Holder wrote Revision.
	Holder   string
	Revision uint64
	// Released tells that it gave the lease up with it.
	Released bool
}

// Observe takes another node's word of the lease, and tells whether it is news.
func (l *Lease) Observe(seen Sighting) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.state.observe(time.Now(), seen.Holder, seen.Revision, seen.Released)
}

// Seen returns the newest word of the lease that this node has.
func (l *Lease) Seen() Sighting {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return Sighting{Holder: l.state.holder, Revision: l.state.revision, Released: l.state.released}
}

// Acquire writes the lease for this node. It returns how long to wait first,
// if another node may still send calls.
func (l *Lease) Acquire(ctx context.Context) (time.Duration, error) {
	next := l.plan()
	if next.read {
		if err := l.read(ctx); err != nil {
			return 0, err
		}
		next = l.plan()
	}
	switch {
	case next.stopped:
		return 0, ErrStopped
	case next.wait > 0:
		// Whatever has been written since only makes the wait longer.
		return next.wait, nil
	}
	return 0, l.write(ctx, next.revision, false)
}

// step is what is to be done next to get the lease.
type step struct {
	stopped bool
	wait    time.Duration
	// read is set where the lease has to be read first.
	read bool
	// revision is what a write replaces. It belongs to the same moment as wait:
	// what is learnt later may bring a holder that has to be waited for.
	revision uint64
}

func (l *Lease) plan() step {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	wait := l.state.wait(time.Now())
	return step{stopped: l.state.stopped, wait: wait, read: wait == 0 && l.state.mustRead(), revision: l.state.revision}
}

// read reads the lease.
func (l *Lease) read(ctx context.Context) error {
	object, err := l.store.Get(ctx, leaseKind, leaseName, objectstore.Linearizable)
	if err != nil && !errors.Is(err, objectstore.ErrNotFound) {
		return err
	}
	var spec leaseSpec
	if err == nil {
		if err := json.Unmarshal(object.Spec, &spec); err != nil {
			return merry.Wrap(err)
		}
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.state.wasRead(time.Now(), spec.Node, object.Revision, spec.Released)
	return nil
}

// write puts this node into the lease if it still stands as known, to hold it or
// to give it up.
func (l *Lease) write(ctx context.Context, revision uint64, release bool) error {
	l.mutex.Lock()
	l.writes++
	spec, err := json.Marshal(leaseSpec{Node: l.state.node, Nonce: l.nonce, Writes: l.writes, Released: release})
	l.mutex.Unlock()
	if err != nil {
		return merry.Wrap(err)
	}
	sent := time.Now()
	var object objectstore.Object
	if revision == 0 {
		object, err = l.store.Create(ctx, leaseKind, leaseName, spec)
	} else {
		object, err = l.store.Replace(ctx, leaseKind, leaseName, spec, revision)
	}
	return l.settle(sent, object, release, err)
}

// settle takes the outcome of a write.
func (l *Lease) settle(sent time.Time, written objectstore.Object, release bool, err error) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var conflict *objectstore.ConflictError
	switch {
	case errors.As(err, &conflict):
		var standing leaseSpec
		if unreadable := json.Unmarshal(conflict.Current.Spec, &standing); unreadable != nil {
			l.state.unanswered()
			return merry.Wrap(unreadable)
		}
		l.state.conflicted(time.Now(), standing.Node, conflict.Current.Revision, standing.Released)
	case err != nil:
		l.state.unanswered()
	case release:
		l.state.observe(time.Now(), l.state.node, written.Revision, true)
	default:
		l.state.wrote(sent, written.Revision)
	}
	return err
}

// release gives the lease up, so that a successor need not wait.
func (l *Lease) release(ctx context.Context) error {
	return l.write(ctx, l.Seen().Revision, true)
}

// stop ends this node's tenure, and tells whether it may be released.
func (l *Lease) stop() (mayRelease bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	mayRelease = l.state.mayRelease(time.Now()) && !l.state.stopped
	l.state.stop()
	return mayRelease
}
