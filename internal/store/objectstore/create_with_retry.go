package objectstore

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"
)

const (
	// minRetryBackoff and maxRetryBackoff bound the backoff after a refused attempt. It
	// doubles with each attempt.
	minRetryBackoff = 40 * time.Millisecond
	maxRetryBackoff = 400 * time.Millisecond
	// hedgeDelay is how long an attempt may remain without a response before another one is
	// made in parallel. It is longer than a slow store takes.
	hedgeDelay = 500 * time.Millisecond
	// maxOpenAttempts bounds the attempts without a response.
	maxOpenAttempts = 4
)

// CreateOutcome is what is known of an object after CreateWithRetry.
type CreateOutcome int

// The outcomes of CreateWithRetry.
const (
	// Created reports that this call created the object.
	Created CreateOutcome = iota
	// AlreadyExists reports that the object already existed. An earlier attempt without a
	// response may have created it.
	AlreadyExists
	// NotCreated reports that the context ended and no attempt can take effect.
	NotCreated
	// OutcomeUnknown reports that the context ended and an attempt may still take effect.
	OutcomeUnknown
)

// CreateWithRetry retries a create until the store responds to it, and returns the stored
// object. Only the response to a create is conclusive: a read is not while an attempt
// without a response may still take effect. If an attempt has no response within
// hedgeDelay, another one is made in parallel, since calls sent during an outage get no
// response after its end either. If the context ends first, the error is the last
// attempt's, or an *UnansweredError.
func CreateWithRetry(ctx context.Context, store Store, kind, name string, spec json.RawMessage) (Object, CreateOutcome, error) {
	pending := &pendingCreate{results: make(chan createResult, maxOpenAttempts)}
	create := func() {
		object, err := store.Create(ctx, kind, name, spec)
		pending.results <- createResult{object: object, err: err}
	}
	for backoff := minRetryBackoff; ; backoff = min(2*backoff, maxRetryBackoff) {
		pending.open++
		go create()
		object, outcome, conclusive := pending.wait(ctx)
		if conclusive {
			return object, outcome, nil
		}
		if pending.open == 0 && !SleepWithJitter(ctx, backoff) || ctx.Err() != nil {
			return Object{}, pending.outcome(), pending.err(ctx)
		}
	}
}

// createResult is the result of one attempt.
type createResult struct {
	object Object
	err    error
}

// pendingCreate is a create without a conclusive response. It is used by one goroutine,
// which receives the results of the attempts through the channel.
type pendingCreate struct {
	results chan createResult
	// open counts the attempts without a response.
	open int
	// unanswered is set once an attempt has ended without a response. lastError is the
	// error of the last attempt that ended.
	unanswered bool
	lastError  error
}

// wait waits until there is a conclusive response or another attempt is due.
func (p *pendingCreate) wait(ctx context.Context) (object Object, outcome CreateOutcome, conclusive bool) {
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
		case result := <-p.results:
			p.open--
			if object, outcome, conclusive = p.record(result); conclusive || p.open == 0 {
				return object, outcome, conclusive
			}
			due = hedge.C
		}
	}
}

// record records the result of an attempt and reports whether it is conclusive.
func (p *pendingCreate) record(result createResult) (Object, CreateOutcome, bool) {
	var conflict *ConflictError
	var refused *RefusedError
	switch {
	case result.err == nil:
		return result.object, Created, true
	case errors.As(result.err, &conflict):
		return conflict.Current, AlreadyExists, true
	case !errors.As(result.err, &refused):
		p.unanswered = true
	}
	p.lastError = result.err
	return Object{}, 0, false
}

// outcome returns the outcome if the context has ended.
func (p *pendingCreate) outcome() CreateOutcome {
	if p.unanswered || p.open > 0 {
		return OutcomeUnknown
	}
	return NotCreated
}

// err returns why there is no conclusive response.
func (p *pendingCreate) err(ctx context.Context) error {
	if p.lastError != nil {
		return p.lastError
	}
	return &UnansweredError{Cause: merry.Wrap(ctx.Err())}
}
