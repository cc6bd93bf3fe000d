package lease

import (
	"context"
	"errors"
	"time"

	"github.com/pathtally/pathtally/internal/store/objectstore"
)

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
	wait := l.state.wait(l.clock())
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
		spec = decodeLease(object)
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.state.wasRead(l.clock(), spec.Node, object.Revision, spec.Released)
	return nil
}
