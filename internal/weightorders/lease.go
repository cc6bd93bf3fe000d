package weightorders

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/pathtally/pathtally/internal/objectstore"
)

const (
	leaseKind = "leases"
	leaseName = "weight-orders"
	// orderWindow is for how long after its write was sent a lease allows
	// orders.
	orderWindow = 2500 * time.Millisecond
	// takeoverMargin is added to the wait of a successor.
	takeoverMargin = 200 * time.Millisecond
	// defaultTerm is the term where the settings name none.
	defaultTerm = 3 * time.Second
)

// leaseSpec is the stored lease.
type leaseSpec struct {
	Node  string `json:"node"`
	Nonce string `json:"nonce"`
	// Writes counts the writes of one process, so that each of them changes
	// the object and with it the revision that successors wait by.
	Writes uint64 `json:"writes"`
}

// lease is this node's view of the lease for orders. It is safe for use by
// many goroutines.
type lease struct {
	node  string
	nonce string
	term  time.Duration
	store objectstore.Store

	mutex sync.Mutex
	// revision is the newest one seen, when it was first seen, and whose.
	revision uint64
	seen     time.Time
	holder   string
	// unsure is set while a write of this node's may have been done.
	unsure bool
	// until is when this node must have stopped giving orders.
	until  time.Time
	token  uint64
	writes uint64
}

// valid returns the token if orders may be sent now.
func (l *lease) valid() (uint64, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.token, l.token != 0 && time.Now().Before(l.until)
}

// setTerm changes the wait of this node as a successor.
func (l *lease) setTerm(term time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.term = term
}

// remaining is for how long orders may be sent.
func (l *lease) remaining() time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return time.Until(l.until)
}

// observe records who wrote a revision, and tells whether it is news.
func (l *lease) observe(node string, revision uint64) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if revision <= l.revision {
		return false
	}
	l.revision, l.seen, l.holder = revision, time.Now(), node
	if node != l.node {
		l.token = 0
	}
	return true
}

// newest is the newest revision seen and who wrote it.
func (l *lease) newest() (holder string, revision uint64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.holder, l.revision
}

// heldBy returns the node that held the lease last, as far as is known.
func (l *lease) heldBy() string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.holder
}

// acquire writes the lease for this node. It returns how long to wait first,
// if another node may still give orders.
func (l *lease) acquire(ctx context.Context) (time.Duration, error) {
	l.mutex.Lock()
	revision, holder, unsure := l.revision, l.holder, l.unsure
	l.mutex.Unlock()
	if holder != l.node || revision == 0 || unsure {
		if pause := l.wait(); pause > 0 {
			// Whatever has been written since only makes the wait longer.
			return pause, nil
		}
		if err := l.look(ctx); err != nil {
			return 0, err
		}
		l.mutex.Lock()
		revision, l.unsure = l.revision, false
		l.mutex.Unlock()
		if pause := l.wait(); pause > 0 {
			return pause, nil
		}
	}
	return 0, l.write(ctx, revision)
}

// wait is for how long another node may still give orders, or its last orders
// bar others from giving any, as far as is known.
func (l *lease) wait() time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.revision == 0 || l.holder == l.node {
		return 0
	}
	return time.Until(l.seen.Add(orderWindow + l.term + takeoverMargin))
}

// look reads the lease.
func (l *lease) look(ctx context.Context) error {
	object, err := l.store.Get(ctx, leaseKind, leaseName, objectstore.Linearizable)
	if errors.Is(err, objectstore.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	return l.take(object)
}

func (l *lease) take(object objectstore.Object) error {
	var spec leaseSpec
	if err := json.Unmarshal(object.Spec, &spec); err != nil {
		return err
	}
	l.observe(spec.Node, object.Revision)
	return nil
}

// write puts this node into the lease if it still stands as known.
func (l *lease) write(ctx context.Context, revision uint64) error {
	l.mutex.Lock()
	l.writes++
	spec, err := json.Marshal(leaseSpec{Node: l.node, Nonce: l.nonce, Writes: l.writes})
	l.mutex.Unlock()
	if err != nil {
		return err
	}
	sent := time.Now()
	var object objectstore.Object
	if revision == 0 {
		object, err = l.store.Create(ctx, leaseKind, leaseName, spec)
	} else {
		object, err = l.store.Replace(ctx, leaseKind, leaseName, spec, revision)
	}
	var conflict *objectstore.ConflictError
	if errors.As(err, &conflict) {
		l.forgetToken()
		return errors.Join(err, l.take(conflict.Current))
	}
	if err != nil {
		// An unanswered write may yet be done: the lease is read again first.
		l.forgetRevision()
		return err
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.revision, l.seen, l.holder = object.Revision, sent, l.node
	l.token, l.until = object.Revision, sent.Add(orderWindow)
	return nil
}

func (l *lease) forgetToken() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.token = 0
}

// forgetRevision has the next acquire read the lease first.
func (l *lease) forgetRevision() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.token, l.unsure = 0, true
}
