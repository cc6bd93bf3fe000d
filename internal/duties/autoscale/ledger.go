package autoscale

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/pathtally/pathtally/internal/store/objectstore"
)

const (
	// ledgerKind is the kind of the stored objects, one per service.
	ledgerKind = "replicaorders"
	// refreshInterval is the interval at which a node that does not hold a valid lease reads
	// the record. It is much shorter than scaleDownDelay.
	refreshInterval = 10 * time.Second
)

// record is the stored form of a service's orders, by zone: the baseline, which is the number
// of replicas before any was ordered, and the number that was ordered last.
type record struct {
	Base    map[string]int `json:"base"`
	Ordered map[string]int `json:"ordered"`
}

// ledger records the orders of one service in the metadata store. It is not safe for
// concurrent use.
type ledger struct {
	store   objectstore.Store
	service string
	content record
	// revision is the revision of the stored object, 0 if there is none.
	revision uint64
	// loaded is set by a successful read and cleared by a failed write.
	loaded bool
	// readAt is the time of the last successful read, and heldSince the time since which this
	// node had held the lease then, zero if it did not hold it.
	readAt    time.Time
	heldSince time.Time
}

// isCurrent reports whether the content can be used without another read. heldSince is the time
// since which this node has held the lease, zero if it does not hold it. Only the holder writes
// the record, so content that it has read while holding the lease remains current. On other
// nodes it expires after refreshInterval.
func (l *ledger) isCurrent(heldSince, now time.Time) bool {
	switch {
	case !l.loaded:
		return false
	case !heldSince.IsZero():
		return l.heldSince.Equal(heldSince)
	}
	return now.Sub(l.readAt) < refreshInterval
}

// load reads the stored record unless the content is current.
func (l *ledger) load(ctx context.Context, heldSince, now time.Time) error {
	if l.isCurrent(heldSince, now) {
		return nil
	}
	if err := l.read(ctx); err != nil {
		return err
	}
	l.heldSince, l.readAt = heldSince, now
	return nil
}

// read replaces the content by the stored record, or by an empty one if there is none.
func (l *ledger) read(ctx context.Context) error {
	object, err := l.store.Get(ctx, ledgerKind, l.service, objectstore.Linearizable)
	if errors.Is(err, objectstore.ErrNotFound) {
		l.content, l.revision, l.loaded = record{Base: map[string]int{}, Ordered: map[string]int{}}, 0, true
		return nil
	}
	if err != nil {
		return err
	}
	return l.decode(object)
}

// decode replaces the content by the decoded stored record.
func (l *ledger) decode(object objectstore.Object) error {
	var stored record
	if err := json.Unmarshal(object.Spec, &stored); err != nil {
		return merry.Wrap(err)
	}
	if stored.Base == nil {
		stored.Base = map[string]int{}
	}
	if stored.Ordered == nil {
		stored.Ordered = map[string]int{}
	}
	l.content, l.revision, l.loaded = stored, object.Revision, true
	return nil
}

// write replaces the stored record. After an error the record must be loaded again.
func (l *ledger) write(ctx context.Context, next record) error {
	spec, err := json.Marshal(next)
	if err != nil {
		return merry.Wrap(err)
	}
	var object objectstore.Object
	if l.revision == 0 {
		object, err = l.store.Create(ctx, ledgerKind, l.service, spec)
	} else {
		object, err = l.store.Replace(ctx, ledgerKind, l.service, spec, l.revision)
	}
	if err != nil {
		l.loaded = false
		return err
	}
	l.content, l.revision = next, object.Revision
	return nil
}
