package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pathtally/pathtally/internal/callers/dispatch"
	"github.com/pathtally/pathtally/internal/callers/eventstream"
	"github.com/pathtally/pathtally/internal/replicas/routing"
)

const (
	// silenceObjectives is how many times the objective a resumable stream may be
	// silent before it goes on elsewhere, and minSilence the least such time.
	silenceObjectives = 2
	minSilence        = 700 * time.Millisecond
)

// silenceLimit returns how long a resumable stream may be silent.
func silenceLimit(objective time.Duration) time.Duration {
	return max(minSilence, silenceObjectives*objective)
}

// attempt streams from one replica until the end. A resumable stream is cut off with
// ErrSilent after silenceLimit without an event.
func (r *streamRequest) attempt(ctx context.Context, endpoint *routing.Endpoint) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	limit := silenceLimit(r.route.Objective)
	silence := time.AfterFunc(limit, func() {
		if r.route.Resumable {
			cancel(ErrSilent)
		}
	})
	defer silence.Stop()
	call := *r.call
	call.AfterEvent, call.Once, call.Resumable = r.lastEvent, !r.route.Resumable, r.route.Resumable
	answer, err := r.forwarder.config.Dispatcher.Send(ctx, endpoint, &call)
	if err != nil {
		return err
	}
	defer answer.Close()
	if !r.acceptsStatus(answer.Status) {
		answer.Discard()
		return &StreamStatusError{Status: answer.Status}
	}
	resumed := r.begun
	if !r.begun {
		r.begun = true
		r.sink.Begin(answer)
	}
	if answer.Status != http.StatusOK {
		return r.passBody(answer)
	}
	return r.passEvents(answer, resumed, func() { silence.Reset(limit) })
}

// acceptsStatus returns whether an answer of a status goes to the caller. One that
// cannot continue a begun stream does not, nor a server error where a further attempt
// is allowed.
func (r *streamRequest) acceptsStatus(status int) bool {
	if status == http.StatusOK {
		return true
	}
	mayRepeat := r.route.Resumable && r.failedAttempts+1 < r.route.Attempts
	return !r.begun && (status < http.StatusInternalServerError || !mayRepeat)
}

// passBody passes on an answer that is no stream.
func (r *streamRequest) passBody(answer *dispatch.Answer) error {
	body, err := readBody(answer)
	if err != nil {
		return err
	}
	return r.sink.Event(string(body))
}

// passEvents passes events on to the end of a replica's stream, and calls received at
// each.
func (r *streamRequest) passEvents(answer *dispatch.Answer, resumed bool, received func()) error {
	events := eventstream.NewReader(answer, r.forwarder.config.VersionField, r.lastEvent)
	announceVersion := resumed && answer.Verdict.Version > 0 && answer.Verdict.Version != r.version
	if answer.Verdict.Version > 0 {
		r.version = answer.Verdict.Version
	}
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			return r.checkEnd(answer)
		}
		if err != nil {
			answer.Discard()
			return err
		}
		received()
		if err := r.passEvent(event, announceVersion); err != nil {
			answer.Discard()
			return err
		}
		announceVersion = false
	}
}

// checkEnd returns whether a replica's stream is whole that ended after a whole event.
// One without framing may have been cut off: where it is resumable, a further replica
// shows whether more events follow.
func (r *streamRequest) checkEnd(answer *dispatch.Answer) error {
	if !answer.Framed && r.route.Resumable {
		return ErrSilent
	}
	answer.Endpoint.State.Failures.Store(0)
	return nil
}

// passEvent passes one event on. Where the weight version is to be announced and the
// event has none, a line with it is put before the event.
func (r *streamRequest) passEvent(event eventstream.Event, announceVersion bool) error {
	raw := event.Raw
	if event.Version > 0 {
		r.version = event.Version
	} else if announceVersion {
		raw = versionLine(r.forwarder.config.VersionField, r.version) + raw
	}
	if err := r.sink.Event(raw); err != nil {
		return err
	}
	if r.events == 0 && r.call.Metered {
		r.forwarder.config.Meter.CountRequest(r.call.Tenant, time.Now())
	}
	r.lastEvent = event.ID
	r.events++
	return nil
}

// versionLine returns the line of an event that gives a weight version.
func versionLine(field string, version int64) string {
	return field + ": " + strconv.FormatInt(version, 10) + "\n"
}
