package storerelay

import (
	"context"
	"encoding/json"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/pathtally/pathtally/internal/store/objectstore"
	"github.com/pathtally/pathtally/internal/store/objectwire"
	"github.com/pathtally/pathtally/internal/wire"
)

// Relay is a store that makes calls through another node while the store refuses this one.
// It is safe for concurrent use.
type Relay struct {
	config       Config
	relayed      *prometheus.CounterVec
	directAccess directAccess
	helpers      helperHistory
	inFlight     inFlightCalls
}

var _ objectstore.Store = (*Relay)(nil)

// New returns a relay and registers its metrics.
func New(config Config) *Relay {
	relayed := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "pathtally_store_calls_relayed_total", Help: "Calls to the metadata store made through another node, by outcome.",
	}, []string{"outcome"})
	config.Registry.MustRegister(relayed)
	return &Relay{config: config, relayed: relayed}
}

// List implements objectstore.Store.
func (r *Relay) List(ctx context.Context, kind, after string, freshness objectstore.Freshness) (objectstore.Page, error) {
	call := &wire.StoreCall{Verb: uint8(wire.StoreList), Kind: kind, Name: after, MayBeStale: bool(freshness)}
	var page objectstore.Page
	reply, err := r.do(ctx, call, func() (err error) {
		page, err = r.config.Direct.List(ctx, kind, after, freshness)
		return err
	})
	if reply != nil {
		page = objectstore.Page{More: reply.More, Revision: reply.At, Objects: objectwire.DecodeAll(reply.Objects)}
	}
	return page, err
}

// Get implements objectstore.Store.
func (r *Relay) Get(ctx context.Context, kind, name string, freshness objectstore.Freshness) (objectstore.Object, error) {
	call := &wire.StoreCall{Verb: uint8(wire.StoreGet), Kind: kind, Name: name, MayBeStale: bool(freshness)}
	return r.doForObject(ctx, call, func() (objectstore.Object, error) { return r.config.Direct.Get(ctx, kind, name, freshness) })
}

// Watch implements objectstore.Store. It is never relayed: package watchcache follows other
// nodes instead.
func (r *Relay) Watch(ctx context.Context, kind string, from uint64, wait time.Duration) (objectstore.Changes, error) {
	return r.config.Direct.Watch(ctx, kind, from, wait)
}

// Create implements objectstore.Store.
func (r *Relay) Create(ctx context.Context, kind, name string, spec json.RawMessage) (objectstore.Object, error) {
	call := &wire.StoreCall{Verb: uint8(wire.StoreCreate), Kind: kind, Name: name, Content: spec}
	return r.doForObject(ctx, call, func() (objectstore.Object, error) { return r.config.Direct.Create(ctx, kind, name, spec) })
}

// Replace implements objectstore.Store.
func (r *Relay) Replace(ctx context.Context, kind, name string, spec json.RawMessage, revision uint64) (objectstore.Object, error) {
	call := &wire.StoreCall{Verb: uint8(wire.StoreReplace), Kind: kind, Name: name, Content: spec, Revision: revision}
	return r.doForObject(ctx, call, func() (objectstore.Object, error) {
		return r.config.Direct.Replace(ctx, kind, name, spec, revision)
	})
}

// ReplaceStatus implements objectstore.Store.
func (r *Relay) ReplaceStatus(ctx context.Context, kind, name string, status json.RawMessage, revision uint64) (objectstore.Object, error) {
	call := &wire.StoreCall{Verb: uint8(wire.StoreReplaceStatus), Kind: kind, Name: name, Content: status, Revision: revision}
	return r.doForObject(ctx, call, func() (objectstore.Object, error) {
		return r.config.Direct.ReplaceStatus(ctx, kind, name, status, revision)
	})
}

// Delete implements objectstore.Store.
func (r *Relay) Delete(ctx context.Context, kind, name string, revision uint64) error {
	call := &wire.StoreCall{Verb: uint8(wire.StoreDelete), Kind: kind, Name: name, Revision: revision}
	_, err := r.do(ctx, call, func() error { return r.config.Direct.Delete(ctx, kind, name, revision) })
	return err
}

// doForObject makes a call that returns one object.
func (r *Relay) doForObject(ctx context.Context, call *wire.StoreCall, direct func() (objectstore.Object, error)) (objectstore.Object, error) {
	var object objectstore.Object
	reply, err := r.do(ctx, call, func() (err error) {
		object, err = direct()
		return err
	})
	if reply != nil && len(reply.Objects) > 0 {
		object = objectwire.Decode(reply.Objects[0])
	}
	return object, err
}
