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
	// silenceObjectives is the idle timeout of a resumable stream as a multiple of the
	// route's latency objective, minSilence the shortest such timeout.
	silenceObjectives = 2
	minSilence        = 700 * time.Millisecond
)

// silenceLimit returns the time without an event after which a resumable stream is
// resumed at another replica.
func silenceLimit(objective time.Duration) time.Duration {
	return max(minSilence, silenceObjectives*objective)
}

// attempt forwards the stream of one replica until it ends. A resumable stream is canceled
// with ErrSilent after silenceLimit without an event.
func (r *streamRequest) attempt(ctx context.Context, endpoint *routing.Endpoint) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	limit := silenceLimit(r.route.Objective)
	silence := time.AfterFunc(limit, func() {
		if r.route.Resumable {
			cancel(ErrStreamInterrupted)
		}
	})
	defer silence.Stop()
	call := *r.call
	call.LastEventID, call.AtMostOnce, call.Resumable = r.lastEvent, !r.route.Resumable, r.route.Resumable
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

// acceptsStatus reports whether a response with a status is forwarded to the caller. Once
// the response head has been forwarded, only status 200 can continue the stream; before,
// a server error is not forwarded if another attempt is allowed.
func (r *streamRequest) acceptsStatus(status int) bool {
	if status == http.StatusOK {
		return true
	}
	mayRepeat := r.route.Resumable && r.failedAttempts+1 < r.route.Attempts
	return !r.begun && (status < http.StatusInternalServerError || !mayRepeat)
}

// passBody forwards the body of a response that is not a stream.
func (r *streamRequest) passBody(answer *dispatch.Response) error {
	body, err := readBody(answer)
	if err != nil {
		return err
	}
	return r.sink.Event(string(body))
}

// passEvents forwards events until the replica's stream ends, and calls received for each
// event. If the stream is resumed at a replica with another weight version, the first event
// gets a line with that version.
func (r *streamRequest) passEvents(answer *dispatch.Response, resumed bool, received func()) error {
	events := eventstream.NewReader(answer, r.forwarder.config.VersionField, r.lastEvent)
	announceVersion := resumed && answer.Metadata.Version > 0 && answer.Metadata.Version != r.version
	if answer.Metadata.Version > 0 {
		r.version = answer.Metadata.Version
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

// checkEnd returns an error if a replica's stream that ended after a complete event may be
// truncated. Without HTTP framing, truncation cannot be detected; a resumable stream is
// then resumed at another replica to see whether more events follow.
func (r *streamRequest) checkEnd(answer *dispatch.Response) error {
	if !answer.Framed && r.route.Resumable {
		return ErrStreamInterrupted
	}
	answer.Endpoint.State.Failures.Store(0)
	return nil
}

// passEvent forwards one event. If announceVersion is set and the event has no weight
// version, a line with the version is added before it.
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

// versionLine returns an event line that holds a weight version.
func versionLine(field string, version int64) string {
	return field + ": " + strconv.FormatInt(version, 10) + "\n"
}
