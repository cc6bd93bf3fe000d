package autoscale

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/ansel1/merry/v2"

	"github.com/pathtally/pathtally/internal/store/objectstore"
)

// ledgerKind is the kind of the objects that hold what was ordered, one a service.
const ledgerKind = "replicaorders"

// record is the stored orders of a service: how many replicas each zone held before
// anything was ordered, and how many were ordered last.
type record struct {
	Base    map[string]int `json:"base"`
	Ordered map[string]int `json:"ordered"`
}

// ledger keeps what was ordered of one service. It belongs to one goroutine.
type ledger struct {
	store   objectstore.Store
	service string
	known   record
	// revision is that of the stored object, 0 while there is none.
	revision uint64
	// read is set while known is what the store is believed to hold.
	read bool
}

// load reads what the store holds, once.
func (l *ledger) load(ctx context.Context) error {
	if l.read {
		return nil
	}
	object, err := l.store.Get(ctx, ledgerKind, l.service, objectstore.Linearizable)
	if errors.Is(err, objectstore.ErrNotFound) {
		l.known, l.revision, l.read = record{Base: map[string]int{}, Ordered: map[string]int{}}, 0, true
		return nil
	}
	if err != nil {
		return err
	}
	return l.take(object)
}

// take decodes what the store holds.
func (l *ledger) take(object objectstore.Object) error {
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
	l.known, l.revision, l.read = stored, object.Revision, true
	return nil
}

// write stores a record before it is acted on. On an error what is stored has to be read
// anew.
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
		l.read = false
		return err
	}
	l.known, l.revision = next, object.Revision
	return nil
}
