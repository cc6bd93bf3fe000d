package objectstore

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Metered is a store that counts the calls to another one by call, kind and outcome.
type Metered struct {
	store Store
	calls *prometheus.CounterVec
}

var _ Store = (*Metered)(nil)

// NewMetered returns a store that counts the calls to another one, and registers its
// metric.
func NewMetered(store Store, registry prometheus.Registerer) *Metered {
	calls := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "pathtally_store_calls_total", Help: "Calls to the metadata store, by what they do, kind of object and outcome.",
	}, []string{"call", "kind", "outcome"})
	registry.MustRegister(calls)
	return &Metered{store: store, calls: calls}
}

func (m *Metered) count(call, kind string, err error) {
	m.calls.WithLabelValues(call, kind, outcomeOf(err)).Inc()
}

// outcomeOf returns the metric label of a call's outcome.
func outcomeOf(err error) string {
	var conflict *ConflictError
	var refused *RefusedError
	switch {
	case err == nil:
		return "done"
	case errors.Is(err, ErrNotFound):
		return "not_found"
	case errors.Is(err, ErrHistoryGone):
		return "history_gone"
	case errors.As(err, &conflict):
		return "conflict"
	case errors.As(err, &refused):
		return "refused"
	}
	return "unanswered"
}

// readCall returns the metric label of a read. Stale reads are counted separately, since
// they cost the store less.
func readCall(name string, freshness Freshness) string {
	if freshness == MayBeStale {
		return name + "_stale"
	}
	return name
}

// List implements Store.
func (m *Metered) List(ctx context.Context, kind, after string, freshness Freshness) (Page, error) {
	page, err := m.store.List(ctx, kind, after, freshness)
	m.count(readCall("list", freshness), kind, err)
	return page, err
}

// Get implements Store.
func (m *Metered) Get(ctx context.Context, kind, name string, freshness Freshness) (Object, error) {
	object, err := m.store.Get(ctx, kind, name, freshness)
	m.count(readCall("get", freshness), kind, err)
	return object, err
}

// Watch implements Store.
func (m *Metered) Watch(ctx context.Context, kind string, from uint64, wait time.Duration) (Changes, error) {
	changes, err := m.store.Watch(ctx, kind, from, wait)
	m.count("watch", kind, err)
	return changes, err
}

// Create implements Store.
func (m *Metered) Create(ctx context.Context, kind, name string, spec json.RawMessage) (Object, error) {
	object, err := m.store.Create(ctx, kind, name, spec)
	m.count("create", kind, err)
	return object, err
}

// Replace implements Store.
func (m *Metered) Replace(ctx context.Context, kind, name string, spec json.RawMessage, revision uint64) (Object, error) {
	object, err := m.store.Replace(ctx, kind, name, spec, revision)
	m.count("replace", kind, err)
	return object, err
}

// ReplaceStatus implements Store.
func (m *Metered) ReplaceStatus(ctx context.Context, kind, name string, status json.RawMessage, revision uint64) (Object, error) {
	object, err := m.store.ReplaceStatus(ctx, kind, name, status, revision)
	m.count("replace_status", kind, err)
	return object, err
}

// Delete implements Store.
func (m *Metered) Delete(ctx context.Context, kind, name string, revision uint64) error {
	err := m.store.Delete(ctx, kind, name, revision)
	m.count("delete", kind, err)
	return err
}
