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
	// idleTimeoutObjectives is the idle timeout of a resumable stream as a multiple of the
	// route's latency objective, minStreamIdleTimeout the shortest such timeout.
	idleTimeoutObjectives = 2
	minStreamIdleTimeout  = 700 * time.Millisecond
)

// streamIdleTimeout returns the time without an event after which a resumable stream is
// resumed at another replica.
func streamIdleTimeout(objective time.Duration) time.Duration {
	return max(minStreamIdleTimeout, idleTimeoutObjectives*objective)
}

// attempt forwards the stream of one replica until it ends. A resumable stream is canceled,
// with cause ErrStreamInterrupted, after streamIdleTimeout without an event.
func (r *streamRequest) attempt(ctx context.Context, endpoint *routing.Endpoint) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	idleTimeout := streamIdleTimeout(r.route.Objective)
	idleTimer := time.AfterFunc(idleTimeout, func() {
		if r.route.Resumable {
			cancel(ErrStreamInterrupted)
		}
	})
	defer idleTimer.Stop()
	call := *r.call
	call.LastEventID, call.AtMostOnce, call.Resumable = r.lastEventID, !r.route.Resumable, r.route.Resumable
	response, err := r.forwarder.config.Dispatcher.Send(ctx, endpoint, &call)
	if err != nil {
		return err
	}
	defer response.Close()
	if !r.forwardsStatus(response.Status) {
		response.Discard()
		return &StreamStatusError{Status: response.Status}
	}
	resumed := r.headForwarded
	if !r.headForwarded {
		r.headForwarded = true
		r.sink.Begin(response)
	}
	if response.Status != http.StatusOK {
		return r.forwardBody(response)
	}
	return r.forwardEvents(response, resumed, func() { idleTimer.Reset(idleTimeout) })
}

// forwardsStatus reports whether a response with a status is forwarded to the caller. Once
// the response head has been forwarded, only status 200 can continue the stream; before,
// a server error is not forwarded if another attempt is allowed.
func (r *streamRequest) forwardsStatus(status int) bool {
	if status == http.StatusOK {
		return true
	}
	mayRetry := r.route.Resumable && r.failedAttempts+1 < r.route.Attempts
	return !r.headForwarded && (status < http.StatusInternalServerError || !mayRetry)
}

// forwardBody forwards the body of a response that is not a stream.
func (r *streamRequest) forwardBody(response *dispatch.Response) error {
	held := &reservation{budget: r.forwarder.responseBytes}
	defer held.close()
	body, err := readBody(response, held)
	if err != nil {
		return err
	}
	return r.sink.Event(string(body))
}

// forwardEvents forwards events until the replica's stream ends, and calls onEvent for each
// event. If the stream is resumed at a replica with another weight version, the first event
// gets a line with that version.
func (r *streamRequest) forwardEvents(response *dispatch.Response, resumed bool, onEvent func()) error {
	events := eventstream.NewReader(response, r.forwarder.config.VersionField, r.lastEventID)
	events.Budget = r.forwarder.responseBytes
	defer events.Close()
	announceVersion := resumed && response.Metadata.Version > 0 && response.Metadata.Version != r.version
	if response.Metadata.Version > 0 {
		r.version = response.Metadata.Version
	}
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			return r.checkComplete(response)
		}
		if err != nil {
			response.Discard()
			return err
		}
		onEvent()
		if err := r.forwardEvent(event, announceVersion); err != nil {
			response.Discard()
			return err
		}
		announceVersion = false
	}
}

// checkComplete returns an error if a replica's stream that ended after a complete event may be
// truncated. Without HTTP framing, truncation cannot be detected; a resumable stream is
// then resumed at another replica to see whether more events follow.
func (r *streamRequest) checkComplete(response *dispatch.Response) error {
	if !response.Framed && r.route.Resumable {
		return ErrStreamInterrupted
	}
	response.Endpoint.State.Failures.Store(0)
	return nil
}

// forwardEvent forwards one event. If announceVersion is set and the event has no weight
// version, a line with the version is added before it.
func (r *streamRequest) forwardEvent(event eventstream.Event, announceVersion bool) error {
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
	r.lastEventID = event.ID
	r.events++
	return nil
}

// versionLine returns an event line that holds a weight version.
func versionLine(field string, version int64) string {
	return field + ": " + strconv.FormatInt(version, 10) + "\n"
}
