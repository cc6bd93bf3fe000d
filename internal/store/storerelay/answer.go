package storerelay

import (
	"context"
	"errors"

	"github.com/pathtally/pathtally/internal/store/objectstore"
	"github.com/pathtally/pathtally/internal/store/objectwire"
	"github.com/pathtally/pathtally/internal/wire"
)

// Answer makes a call for another node, on this node's own way only, so that
// no call goes round in circles.
func (r *Relay) Answer(ctx context.Context, call *wire.StoreCall) *wire.StoreReply {
	ctx, cancel := context.WithTimeout(ctx, relayTime)
	defer cancel()
	own := r.config.Own
	freshness := objectstore.Freshness(call.MayBeStale)
	var object objectstore.Object
	var err error
	switch wire.StoreVerb(call.Verb) {
	case wire.StoreList:
		page, err := own.List(ctx, call.Kind, call.Name, freshness)
		reply := replyTo(err)
		reply.More, reply.At = page.More, page.At
		reply.Objects = objectwire.EncodeAll(page.Objects)
		return reply
	case wire.StoreGet:
		object, err = own.Get(ctx, call.Kind, call.Name, freshness)
	case wire.StoreCreate:
		object, err = own.Create(ctx, call.Kind, call.Name, call.Content)
	case wire.StoreReplace:
		object, err = own.Replace(ctx, call.Kind, call.Name, call.Content, call.Revision)
	case wire.StoreReplaceStatus:
		object, err = own.ReplaceStatus(ctx, call.Kind, call.Name, call.Content, call.Revision)
	default:
		return &wire.StoreReply{Outcome: uint8(wire.StoreRefused)}
	}
	reply := replyTo(err)
	if err == nil {
		reply.Objects = []wire.ObjectChange{objectwire.Encode(object)}
	}
	return reply
}

// replyTo is the reply to a call that ended with an error, or nil.
func replyTo(err error) *wire.StoreReply {
	var conflict *objectstore.ConflictError
	var refused *objectstore.RefusedError
	switch {
	case err == nil:
		return &wire.StoreReply{Outcome: uint8(wire.StoreDone)}
	case errors.Is(err, objectstore.ErrNotFound):
		return &wire.StoreReply{Outcome: uint8(wire.StoreNotFound)}
	case errors.As(err, &conflict):
		return &wire.StoreReply{Outcome: uint8(wire.StoreConflict), Objects: []wire.ObjectChange{objectwire.Encode(conflict.Current)}}
	case errors.As(err, &refused):
		return &wire.StoreReply{Outcome: uint8(wire.StoreRefused), Status: int32(refused.Status)}
	}
	return &wire.StoreReply{Outcome: uint8(wire.StoreUnanswered)}
}

// failureOf is the error that a reply tells of, nil for none.
func failureOf(reply *wire.StoreReply) error {
	switch wire.StoreOutcome(reply.Outcome) {
	case wire.StoreDone:
		return nil
	case wire.StoreNotFound:
		return objectstore.ErrNotFound
	case wire.StoreConflict:
		if len(reply.Objects) > 0 {
			return &objectstore.ConflictError{Current: objectwire.Decode(reply.Objects[0])}
		}
	case wire.StoreRefused:
		return &objectstore.RefusedError{Status: int(reply.Status), Cause: errRelayed}
	}
	return &objectstore.UnansweredError{Cause: errRelayed}
}

// nameOf is an outcome as metrics name it.
func nameOf(outcome wire.StoreOutcome) string {
	switch outcome {
	case wire.StoreDone:
		return "done"
	case wire.StoreNotFound:
		return "not found"
	case wire.StoreConflict:
		return "conflict"
	case wire.StoreRefused:
		return "refused"
	}
	return "unanswered"
}
