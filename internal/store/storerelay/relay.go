package storerelay

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/environment"
	"github.com/pathtally/pathtally/internal/store/objectstore"
	"github.com/pathtally/pathtally/internal/store/objectwire"
	"github.com/pathtally/pathtally/internal/wire"
)

const (
	// troubledTime is for how long after a call of its own failed a node makes
	// the next ones through another node, if there is one.
	troubledTime = 2 * time.Second
	// relayTime bounds a call through another node.
	relayTime = 1800 * time.Millisecond
)

// errRelayed is the cause of failures that another node has told of.
var errRelayed = merry.Sentinel("call made through another node failed")

// Config is what a Relay needs.
type Config struct {
	// Own is this node's way to the store.
	Own   objectstore.Store
	Peers environment.Peers
	// Through returns the address of a node that the store answers now, if one
	// is known.
	Through func() (address string, known bool)
	// Others lists addresses of further nodes that may carry large calls, the best
	// first; nil for none.
	Others func() []string
	// Region is the region of the node at an address, "" if it is not known.
	Region   func(address string) string
	Logger   klog.Logger
	Registry prometheus.Registerer
}

// Relay is a store that calls through another node where the store turns this
// one away. It is safe for use by many goroutines.
type Relay struct {
	config   Config
	relayed  *prometheus.CounterVec
	helpers  helpers
	onTheWay relayedCalls

	mutex sync.Mutex
	// failedAt is when a call of this node's own failed last.
	failedAt time.Time
	relaying bool
}

var _ objectstore.Store = (*Relay)(nil)

// New returns a relay.
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
		page, err = r.config.Own.List(ctx, kind, after, freshness)
		return err
	})
	if reply != nil {
		page = objectstore.Page{More: reply.More, At: reply.At, Objects: objectwire.DecodeAll(reply.Objects)}
	}
	return page, err
}

// Get implements objectstore.Store.
func (r *Relay) Get(ctx context.Context, kind, name string, freshness objectstore.Freshness) (objectstore.Object, error) {
	call := &wire.StoreCall{Verb: uint8(wire.StoreGet), Kind: kind, Name: name, MayBeStale: bool(freshness)}
	return r.one(ctx, call, func() (objectstore.Object, error) { return r.config.Own.Get(ctx, kind, name, freshness) })
}

// Watch implements objectstore.Store. It has no way through another node:
// package watchcache follows nodes instead.
func (r *Relay) Watch(ctx context.Context, kind string, from uint64, wait time.Duration) (objectstore.Changes, error) {
	return r.config.Own.Watch(ctx, kind, from, wait)
}

// Create implements objectstore.Store.
func (r *Relay) Create(ctx context.Context, kind, name string, spec json.RawMessage) (objectstore.Object, error) {
	call := &wire.StoreCall{Verb: uint8(wire.StoreCreate), Kind: kind, Name: name, Content: spec}
	return r.one(ctx, call, func() (objectstore.Object, error) { return r.config.Own.Create(ctx, kind, name, spec) })
}

// Replace implements objectstore.Store.
func (r *Relay) Replace(ctx context.Context, kind, name string, spec json.RawMessage, revision uint64) (objectstore.Object, error) {
	call := &wire.StoreCall{Verb: uint8(wire.StoreReplace), Kind: kind, Name: name, Content: spec, Revision: revision}
	return r.one(ctx, call, func() (objectstore.Object, error) { return r.config.Own.Replace(ctx, kind, name, spec, revision) })
}

// ReplaceStatus implements objectstore.Store.
func (r *Relay) ReplaceStatus(ctx context.Context, kind, name string, status json.RawMessage, revision uint64) (objectstore.Object, error) {
	call := &wire.StoreCall{Verb: uint8(wire.StoreReplaceStatus), Kind: kind, Name: name, Content: status, Revision: revision}
	return r.one(ctx, call, func() (objectstore.Object, error) {
		return r.config.Own.ReplaceStatus(ctx, kind, name, status, revision)
	})
}

// one makes a call that returns one object.
func (r *Relay) one(ctx context.Context, call *wire.StoreCall, own func() (objectstore.Object, error)) (objectstore.Object, error) {
	var object objectstore.Object
	reply, err := r.do(ctx, call, func() (err error) {
		object, err = own()
		return err
	})
	if reply != nil && len(reply.Objects) > 0 {
		object = objectwire.Decode(reply.Objects[0])
	}
	return object, err
}

// do makes a call on this node's own way, or through another node: at once
// while calls of its own have failed of late, else where the store refuses it.
// A call that had no answer is never made again here: it may have been done.
// The reply is nil if the call was not made through another node.
func (r *Relay) do(ctx context.Context, call *wire.StoreCall, own func() error) (*wire.StoreReply, error) {
	if r.isTroubled() {
		if addresses := r.helpersFor(ctx, call); len(addresses) > 0 {
			return r.throughAny(ctx, addresses, call)
		}
	}
	err := own()
	var refused *objectstore.RefusedError
	var unanswered *objectstore.UnansweredError
	switch {
	case ctx.Err() != nil:
		return nil, err
	case errors.As(err, &unanswered):
		r.noteFailed()
		return nil, err
	case errors.As(err, &refused):
		r.noteFailed()
		if addresses := r.helpersFor(ctx, call); len(addresses) > 0 {
			return r.throughAny(ctx, addresses, call)
		}
		return nil, err
	}
	r.noteAnswered()
	return nil, err
}

// throughAny makes a call through the first of some nodes that does not refuse it.
func (r *Relay) throughAny(ctx context.Context, addresses []string, call *wire.StoreCall) (*wire.StoreReply, error) {
	return r.onTheWay.once(ctx, call, func() (reply *wire.StoreReply, err error) {
		err = &objectstore.RefusedError{Cause: errRelayed}
		for _, address := range addresses {
			if !r.carries(ctx, address, call) {
				if ctx.Err() != nil {
					return nil, &objectstore.UnansweredError{Cause: merry.Wrap(ctx.Err())}
				}
				r.helpers.avoid(address)
				continue
			}
			reply, err = r.through(ctx, address, call)
			var refused *objectstore.RefusedError
			if !errors.As(err, &refused) {
				return reply, err
			}
			r.helpers.avoid(address)
		}
		return reply, err
	})
}

// through makes a call through another node.
func (r *Relay) through(ctx context.Context, address string, call *wire.StoreCall) (*wire.StoreReply, error) {
	message, err := environment.Ask(ctx, r.config.Peers, address, call, relayTime)
	reply, isReply := message.(*wire.StoreReply)
	if err != nil || !isReply {
		r.relayed.WithLabelValues("silent").Inc()
		if ctx.Err() == nil {
			r.helpers.avoid(address)
		}
		return nil, &objectstore.UnansweredError{Cause: merry.Wrap(environment.ErrPeerUnreachable, merry.WithCause(err))}
	}
	r.relayed.WithLabelValues(nameOf(wire.StoreOutcome(reply.Outcome))).Inc()
	return reply, failureOf(reply)
}

// isTroubled tells whether a call of this node's own has failed of late.
func (r *Relay) isTroubled() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return time.Since(r.failedAt) < troubledTime
}

// noteFailed records that the store did not answer this node. A line is
// written at the first of several failures.
func (r *Relay) noteFailed() {
	r.mutex.Lock()
	first := !r.relaying
	r.relaying, r.failedAt = true, time.Now()
	r.mutex.Unlock()
	if first {
		address, known := r.config.Through()
		r.config.Logger.Info("store does not answer this node's calls", "throughPeer", known, "peer", address)
	}
}

func (r *Relay) noteAnswered() {
	r.mutex.Lock()
	last := r.relaying
	r.relaying, r.failedAt = false, time.Time{}
	r.mutex.Unlock()
	if last {
		r.config.Logger.Info("store answers this node's calls again")
	}
}
