package objectstore

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"time"
)

const (
	// firstPause and longestPause bound the time between tries of a call.
	firstPause   = 40 * time.Millisecond
	longestPause = 400 * time.Millisecond
)

// CreateOutcome tells what is known at the end of CreateSettled.
type CreateOutcome int

// The outcomes of CreateSettled.
const (
	// Created means that this call, or an earlier unanswered try of it, may
	// have made the object: it exists now, and a conflict was never seen.
	Created CreateOutcome = iota
	// Existed means that the object was there; it may be an earlier try's.
	Existed
	// NeverSent means that the context ended and no try can take effect.
	NeverSent
	// Unknown means that the context ended and a try may still take effect.
	Unknown
)

// CreateSettled repeats a create until the store has answered it. Reading
// proves nothing while an unanswered try may still be done, so only an answer
// to a create settles it. The object is the one that stands.
func CreateSettled(ctx context.Context, store Store, kind, name string, spec json.RawMessage) (Object, CreateOutcome, error) {
	unanswered := false
	pause := firstPause
	for {
		object, err := store.Create(ctx, kind, name, spec)
		var conflict *ConflictError
		var refused *RefusedError
		switch {
		case err == nil:
			return object, Created, nil
		case errors.As(err, &conflict):
			return conflict.Current, Existed, nil
		case errors.As(err, &refused):
		default:
			unanswered = true
		}
		if !Pause(ctx, pause) {
			if unanswered {
				return Object{}, Unknown, err
			}
			return Object{}, NeverSent, err
		}
		pause = min(2*pause, longestPause)
	}
}

// Pause waits about as long as told and tells whether the context still
// stands. The spread keeps many nodes from calling at the same moment.
func Pause(ctx context.Context, length time.Duration) bool {
	return Sleep(ctx, length/2+time.Duration(rand.Int64N(int64(length))))
}

// Sleep waits as long as told and tells whether the context still stands.
func Sleep(ctx context.Context, length time.Duration) bool {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return ctx.Err() == nil
	}
}
