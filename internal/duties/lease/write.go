package lease

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/pathtally/pathtally/internal/store/objectstore"
)

// write stores the lease with this node as the holder, or as released by it, on condition
// that it replaces the given revision; 0 means that no lease is stored.
func (l *Lease) write(ctx context.Context, replaces uint64, release bool) error {
	spec, err := l.encode(release)
	if err != nil {
		return merry.Wrap(err)
	}
	sent := l.clock()
	var object objectstore.Object
	if replaces == 0 {
		object, err = l.store.Create(ctx, leaseKind, leaseName, spec)
	} else {
		object, err = l.store.Replace(ctx, leaseKind, leaseName, spec, replaces)
	}
	return l.recordOutcome(sent, object, release, err)
}

func (l *Lease) encode(release bool) ([]byte, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.writes++
	return json.Marshal(storedLease{Node: l.state.node, Nonce: l.nonce, Writes: l.writes, Released: release})
}

// recordOutcome records the outcome of a write in the state, and returns the write's error.
func (l *Lease) recordOutcome(sent time.Time, written objectstore.Object, release bool, err error) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var conflict *objectstore.ConflictError
	switch {
	case errors.As(err, &conflict):
		l.state.recordConflict(l.clock(), decodeLease(conflict.Current))
	case err != nil:
		l.state.recordUnanswered()
	case release:
		l.state.observe(l.clock(), Observation{Holder: l.state.node, Revision: written.Revision, Released: true})
	default:
		l.state.recordWrite(sent, written.Revision)
	}
	return err
}

// release marks the stored lease as released, so that the successor need not wait.
func (l *Lease) release(ctx context.Context) error {
	return l.write(ctx, l.LastObserved().Revision, true)
}
