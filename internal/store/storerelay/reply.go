package storerelay

import (
	"errors"

	"github.com/pathtally/pathtally/internal/store/objectstore"
	"github.com/pathtally/pathtally/internal/store/objectwire"
	"github.com/pathtally/pathtally/internal/wire"
)

// replyTo returns the reply for the result of a call.
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

// errorOf returns the error that a reply reports, nil for none.
func errorOf(reply *wire.StoreReply) error {
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

// outcomeLabel returns the metric label of an outcome.
func outcomeLabel(outcome wire.StoreOutcome) string {
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
