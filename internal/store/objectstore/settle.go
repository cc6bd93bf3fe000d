package objectstore

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/ansel1/merry/v2"
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
// to a create settles it. The object is the one that stands. A further try is made
// beside one that has had no answer for some time: at the end of an outage those
// sent during it stay unanswered, and a create can be repeated.
func CreateSettled(ctx context.Context, store Store, kind, name string, spec json.RawMessage) (Object, CreateOutcome, error) {
	settling := &settling{answers: make(chan createAnswer, openTries)}
	create := func() {
		object, err := store.Create(ctx, kind, name, spec)
		settling.answers <- createAnswer{object: object, err: err}
	}
	for pause := firstPause; ; pause = min(2*pause, longestPause) {
		settling.open++
		go create()
		object, outcome, settled := settling.wait(ctx)
		if settled {
			return object, outcome, nil
		}
		if settling.open == 0 && !Pause(ctx, pause) || ctx.Err() != nil {
			return Object{}, settling.unsettled(), settling.failure(ctx)
		}
	}
}

const (
	// furtherTry is after how long without an answer a create is tried once more:
	// an outage is noticed in as long, and a slow store answers sooner.
	furtherTry = 500 * time.Millisecond
	// openTries bounds the tries under way. Each ends after 1.5 s at the latest.
	openTries = 4
)

// createAnswer is what became of one try.
type createAnswer struct {
	object Object
	err    error
}

// settling is a create on its way. It belongs to one goroutine; tries report
// through the channel.
type settling struct {
	answers chan createAnswer
	// open counts the tries under way.
	open int
	// unanswered is set once a try ended without an answer, and last is how the
	// newest one failed.
	unanswered bool
	last       error
}

// wait waits until the create is settled or a further try is due.
func (s *settling) wait(ctx context.Context) (object Object, outcome CreateOutcome, settled bool) {
	further := time.NewTimer(furtherTry)
	defer further.Stop()
	due := further.C
	for {
		if s.open == openTries {
			due = nil
		}
		select {
		case <-ctx.Done():
			return Object{}, 0, false
		case <-due:
			return Object{}, 0, false
		case answer := <-s.answers:
			s.open--
			if object, outcome, settled = s.take(answer); settled || s.open == 0 {
				return object, outcome, settled
			}
			due = further.C
		}
	}
}

// take judges the answer to a try.
func (s *settling) take(answer createAnswer) (Object, CreateOutcome, bool) {
	var conflict *ConflictError
	var refused *RefusedError
	switch {
	case answer.err == nil:
		return answer.object, Created, true
	case errors.As(answer.err, &conflict):
		return conflict.Current, Existed, true
	case !errors.As(answer.err, &refused):
		s.unanswered = true
	}
	s.last = answer.err
	return Object{}, 0, false
}

// unsettled is what is known where the context has ended.
func (s *settling) unsettled() CreateOutcome {
	if s.unanswered || s.open > 0 {
		return Unknown
	}
	return NeverSent
}

// failure is why the create is not settled.
func (s *settling) failure(ctx context.Context) error {
	if s.last != nil {
		return s.last
	}
	return &UnansweredError{Cause: merry.Wrap(ctx.Err())}
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
