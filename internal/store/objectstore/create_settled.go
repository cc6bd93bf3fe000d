package objectstore

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"
)

const (
	// minRetryBackoff and maxRetryBackoff bound the time before the next attempt after one
	// that was refused. It doubles each time.
	minRetryBackoff = 40 * time.Millisecond
	maxRetryBackoff = 400 * time.Millisecond
	// hedgeDelay is how long an attempt may be without an answer before another one is made
	// beside it. A slow store answers sooner.
	hedgeDelay = 500 * time.Millisecond
	// maxOpenAttempts bounds the attempts without an answer.
	maxOpenAttempts = 4
)

// CreateOutcome is what is known of an object after CreateSettled.
type CreateOutcome int

// The outcomes of CreateSettled.
const (
	// Created reports that this call created the object.
	Created CreateOutcome = iota
	// Existed reports that the object existed. An earlier, unanswered attempt may have
	// created it.
	Existed
	// NeverSent reports that the context ended and no attempt can take effect.
	NeverSent
	// Unknown reports that the context ended and an attempt may still take effect.
	Unknown
)

// CreateSettled repeats a create until the store has answered it, and returns the stored
// object. Only an answer to a create settles it: reading proves nothing while an unanswered
// attempt may still take effect. Another attempt is made beside one that has had no answer
// for hedgeDelay, since calls sent during an outage stay unanswered after its end. If the
// context ends first, the error is the last attempt's, or an *UnansweredError.
func CreateSettled(ctx context.Context, store Store, kind, name string, spec json.RawMessage) (Object, CreateOutcome, error) {
	pending := &pendingCreate{answers: make(chan createAnswer, maxOpenAttempts)}
	create := func() {
		object, err := store.Create(ctx, kind, name, spec)
		pending.answers <- createAnswer{object: object, err: err}
	}
	for pause := minRetryBackoff; ; pause = min(2*pause, maxRetryBackoff) {
		pending.open++
		go create()
		object, outcome, settled := pending.wait(ctx)
		if settled {
			return object, outcome, nil
		}
		if pending.open == 0 && !Pause(ctx, pause) || ctx.Err() != nil {
			return Object{}, pending.unsettled(), pending.failure(ctx)
		}
	}
}

// createAnswer is the result of one attempt.
type createAnswer struct {
	object Object
	err    error
}

// pendingCreate is a create that is not settled. It is used by one goroutine, to which the
// attempts report through the channel.
type pendingCreate struct {
	answers chan createAnswer
	// open counts the attempts without an answer.
	open int
	// unanswered is set once an attempt has ended without an answer. lastError is the error
	// of the newest one that ended.
	unanswered bool
	lastError  error
}

// wait waits until the create is settled or another attempt is due.
func (p *pendingCreate) wait(ctx context.Context) (object Object, outcome CreateOutcome, settled bool) {
	hedge := time.NewTimer(hedgeDelay)
	defer hedge.Stop()
	due := hedge.C
	for {
		if p.open == maxOpenAttempts {
			due = nil
		}
		select {
		case <-ctx.Done():
			return Object{}, 0, false
		case <-due:
			return Object{}, 0, false
		case answer := <-p.answers:
			p.open--
			if object, outcome, settled = p.record(answer); settled || p.open == 0 {
				return object, outcome, settled
			}
			due = hedge.C
		}
	}
}

// record records the answer to an attempt, and reports whether it settles the create.
func (p *pendingCreate) record(answer createAnswer) (Object, CreateOutcome, bool) {
	var conflict *ConflictError
	var refused *RefusedError
	switch {
	case answer.err == nil:
		return answer.object, Created, true
	case errors.As(answer.err, &conflict):
		return conflict.Current, Existed, true
	case !errors.As(answer.err, &refused):
		p.unanswered = true
	}
	p.lastError = answer.err
	return Object{}, 0, false
}

// unsettled returns the outcome if the context has ended.
func (p *pendingCreate) unsettled() CreateOutcome {
	if p.unanswered || p.open > 0 {
		return Unknown
	}
	return NeverSent
}

// failure returns why the create is not settled.
func (p *pendingCreate) failure(ctx context.Context) error {
	if p.lastError != nil {
		return p.lastError
	}
	return &UnansweredError{Cause: merry.Wrap(ctx.Err())}
}
