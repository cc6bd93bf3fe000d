package storerelay

import (
	"context"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/pathtally/pathtally/internal/environment"
	"github.com/pathtally/pathtally/internal/store/objectstore"
	"github.com/pathtally/pathtally/internal/wire"
)

// relayTimeout bounds a call through a helper.
const relayTimeout = 1800 * time.Millisecond

// errRelayed is the cause of errors reported by a helper.
var errRelayed = merry.Sentinel("call made through another node failed")

// do makes a call on this node's direct connection or through a helper. It uses a helper at
// once if direct calls have failed recently, and otherwise if the store refuses the direct
// call. The reply is nil if the direct connection was used. A call without a response is
// not retried, since it may have taken effect.
func (r *Relay) do(ctx context.Context, call *wire.StoreCall, direct func() error) (*wire.StoreReply, error) {
	if r.directAccess.hasFailedRecently() {
		if helpers := r.helpersFor(ctx, call); len(helpers) > 0 {
			return r.callThroughAny(ctx, helpers, call)
		}
	}
	err := direct()
	var refused *objectstore.RefusedError
	var unanswered *objectstore.UnansweredError
	switch {
	case ctx.Err() != nil:
		return nil, err
	case errors.As(err, &unanswered):
		r.recordFailure()
		return nil, err
	case errors.As(err, &refused):
		r.recordFailure()
		if helpers := r.helpersFor(ctx, call); len(helpers) > 0 {
			return r.callThroughAny(ctx, helpers, call)
		}
		return nil, err
	}
	r.recordSuccess()
	return nil, err
}

// callThroughAny makes a call through the first helper that doesn't refuse it.
func (r *Relay) callThroughAny(ctx context.Context, helpers []string, call *wire.StoreCall) (*wire.StoreReply, error) {
	return r.inFlight.do(ctx, call, func() (reply *wire.StoreReply, err error) {
		err = &objectstore.RefusedError{Cause: errRelayed}
		for _, address := range helpers {
			if !r.maySend(ctx, address, call) {
				if ctx.Err() != nil {
					return nil, &objectstore.UnansweredError{Cause: merry.Wrap(ctx.Err())}
				}
				r.helpers.exclude(address)
				continue
			}
			reply, err = r.callThrough(ctx, address, call)
			var refused *objectstore.RefusedError
			if !errors.As(err, &refused) {
				return reply, err
			}
			r.helpers.exclude(address)
		}
		return reply, err
	})
}

// callThrough makes a call through a helper. It returns an *objectstore.UnansweredError if
// the helper doesn't reply, and otherwise the error of the helper's call.
func (r *Relay) callThrough(ctx context.Context, address string, call *wire.StoreCall) (*wire.StoreReply, error) {
	message, err := environment.Call(ctx, r.config.Peers, address, call, relayTimeout)
	reply, isReply := message.(*wire.StoreReply)
	if err != nil || !isReply {
		r.relayed.WithLabelValues("silent").Inc()
		if ctx.Err() == nil {
			r.helpers.exclude(address)
		}
		return nil, &objectstore.UnansweredError{Cause: merry.Wrap(environment.ErrPeerUnreachable, merry.WithCause(err))}
	}
	r.relayed.WithLabelValues(outcomeLabel(wire.StoreOutcome(reply.Outcome))).Inc()
	return reply, errorOf(reply)
}

// recordFailure records that the store refused or did not respond to a direct call.
func (r *Relay) recordFailure() {
	if r.directAccess.recordFailure() {
		address, known := r.config.PeerWithStoreAccess()
		r.config.Logger.Info("store is unavailable to this node", "throughPeer", known, "peer", address)
	}
}

// recordSuccess records that the store responded to a direct call.
func (r *Relay) recordSuccess() {
	if r.directAccess.recordSuccess() {
		r.config.Logger.Info("store is available to this node again")
	}
}
