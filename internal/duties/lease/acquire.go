package lease

import (
	"context"
	"errors"
	"time"

	"github.com/pathtally/pathtally/internal/store/objectstore"
)

// Acquire acquires or renews the lease in one attempt. A positive duration means that it
// did neither, since calls of the previous holder may still be in flight, and is the time
// until the next attempt. The error is ErrStopped or that of the store.
func (l *Lease) Acquire(ctx context.Context) (time.Duration, error) {
	next := l.decide(false)
	if next.action == actionRead {
		if err := l.read(ctx); err != nil {
			return 0, err
		}
		next = l.decide(true)
	}
	switch next.action {
	case actionNone:
		return 0, ErrStopped
	case actionWait:
		return next.wait, nil
	}
	return 0, l.write(ctx, next.replaces, false)
}

func (l *Lease) decide(justRead bool) decision {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.state.decide(l.clock(), justRead)
}

// read fetches the stored lease and records it in the state.
func (l *Lease) read(ctx context.Context) error {
	object, err := l.store.Get(ctx, leaseKind, leaseName, objectstore.Linearizable)
	if err != nil && !errors.Is(err, objectstore.ErrNotFound) {
		return err
	}
	var stored Observation
	if err == nil {
		stored = decodeLease(object)
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.state.recordRead(l.clock(), stored)
	return nil
}
