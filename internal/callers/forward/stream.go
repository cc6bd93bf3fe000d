package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/pathtally/pathtally/internal/callers/dispatch"
	"github.com/pathtally/pathtally/internal/callers/eventstream"
	"github.com/pathtally/pathtally/internal/replicas/directory"
	"github.com/pathtally/pathtally/internal/replicas/routing"
)

const (
	// silentShare is how many times the objective a stream may be silent
	// before it is continued elsewhere, and leastSilence the least such time.
	silentShare  = 2
	leastSilence = 700 * time.Millisecond
	// streamBreaks bounds how often, in attempts, one stream is continued.
	streamBreaks = 6
)

// StreamSink takes a stream on its way to the caller.
type StreamSink interface {
	// Begin takes the head of the answer, once.
	Begin(answer *dispatch.Answer)
	// Event takes one whole event.
	Event(raw string) error
}

// streamRun is one stream on its way. It belongs to one goroutine.
type streamRun struct {
	forwarder *Forwarder
	route     *directory.Route
	call      *dispatch.Call
	sink      StreamSink
	first     int
	// begun is set once the head has gone to the caller.
	begun    bool
	after    int
	version  int64
	events   int
	asked    []string
	counted  int
	refusals int
	breaks   int
}

// Stream forwards a request whose answer is a series of events. Whole events
// are passed on as they come. A stream of a resumable route is continued at
// another replica when it breaks or falls silent. The error is a
// *RefusedError, a *LostError, or, once the caller has the head, a
// *BrokenStreamError.
func (f *Forwarder) Stream(ctx context.Context, route *directory.Route, call *dispatch.Call, sink StreamSink) error {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	run := &streamRun{forwarder: f, route: route, call: call, sink: sink, first: f.split.next(route), after: call.AfterEvent}
	started := time.Now()
	err := f.checkHomes(route, call)
	if err == nil {
		err = run.do(ctx)
	}
	f.config.Metrics.observe(outcomeOf(err), time.Since(started))
	if err != nil {
		f.config.Logger.Info("stream not whole", "request", call.ID, "route", route.Name, "attempts", run.counted, "refusals", run.refusals,
			"events", run.events, "tookMs", time.Since(started).Milliseconds(), "error", err.Error())
	}
	return err
}

// do runs attempts until the stream is whole or there is nothing left to try.
func (r *streamRun) do(ctx context.Context) error {
	for {
		endpoint, err := r.forwarder.pick(r.route, r.first, r.asked, r.call)
		if err != nil && len(r.asked) > 0 && r.refusals+r.breaks < streamBreaks {
			// All have been asked; those asked first may do by now.
			r.asked = nil
			if !sleep(ctx, fullPause) {
				return r.giveUp(ctx, ctx.Err())
			}
			continue
		}
		if err != nil {
			return r.giveUp(ctx, err)
		}
		r.asked = append(r.asked, endpoint.Name)
		err = r.attempt(ctx, endpoint)
		if err == nil {
			return nil
		}
		if ctx.Err() != nil || !r.mayGoOn(err) {
			return r.giveUp(ctx, err)
		}
	}
}

// mayGoOn tells whether a further attempt is allowed after a failure.
func (r *streamRun) mayGoOn(err error) bool {
	if isQuarantined(err) {
		return false
	}
	if !dispatch.MayHaveRun(err) {
		r.refusals++
		return r.refusals < maxRefusals
	}
	r.counted++
	r.breaks++
	return r.route.Resumable && r.breaks < streamBreaks && (r.counted < r.route.Attempts || r.events > 0)
}

// giveUp says how far the stream came.
func (r *streamRun) giveUp(ctx context.Context, err error) error {
	switch {
	case r.begun:
		return &BrokenStreamError{Events: r.events, Cause: err}
	case r.counted > 0:
		return &LostError{Expired: ctx.Err() != nil, Cause: err}
	case len(r.asked) == 0 && r.refusals == 0:
		return refusal(ReasonNoReplica, err, err)
	}
	if len(r.asked) == 0 {
		// No replica at all would do, not only none that is left.
		return refusal(ReasonAllFull, err, err)
	}
	return refusal(ReasonAllFull, err, nil)
}

// attempt streams from one replica until the end.
func (r *streamRun) attempt(ctx context.Context, endpoint *routing.Endpoint) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := time.AfterFunc(r.silence(), func() {
		if r.route.Resumable {
			cancel(ErrSilent)
		}
	})
	defer silence.Stop()
	call := *r.call
	call.AfterEvent, call.Once, call.Resumable = r.after, !r.route.Resumable, r.route.Resumable
	answer, err := r.forwarder.config.Dispatcher.Send(ctx, endpoint, &call)
	if err != nil {
		return err
	}
	defer answer.Close()
	mayRepeat := r.route.Resumable && r.counted+1 < r.route.Attempts
	if answer.Status != http.StatusOK && (r.begun || (answer.Status >= http.StatusInternalServerError && mayRepeat)) {
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
	return r.passEvents(answer, resumed, func() { silence.Reset(r.silence()) })
}

// silence is how long a stream may be silent.
func (r *streamRun) silence() time.Duration {
	return max(leastSilence, silentShare*r.route.Objective)
}

// passBody passes a failure on, which is no stream.
func (r *streamRun) passBody(answer *dispatch.Answer) error {
	body, err := readWhole(answer)
	if err != nil {
		return err
	}
	return r.sink.Event(string(body))
}

// passEvents passes events on to the end of a replica's stream.
func (r *streamRun) passEvents(answer *dispatch.Answer, resumed bool, heard func()) error {
	events := eventstream.NewReader(answer, r.forwarder.config.VersionField, r.after)
	announce := resumed && answer.Verdict.Version > 0 && answer.Verdict.Version != r.version
	if answer.Verdict.Version > 0 {
		r.version = answer.Verdict.Version
	}
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			return r.ended(answer)
		}
		if err != nil {
			answer.Discard()
			return err
		}
		heard()
		if err := r.passEvent(event, announce); err != nil {
			answer.Discard()
			return err
		}
		announce = false
	}
}

// ended judges the end of a replica's stream after a whole event.
func (r *streamRun) ended(answer *dispatch.Answer) error {
	if !answer.Framed && r.route.Resumable {
		// Only a further replica can tell that nothing is missing.
		return ErrSilent
	}
	answer.Endpoint.State.Failures.Store(0)
	return nil
}

// passEvent passes one event on. Where the caller is to be told of the weight
// version and the event does not do so, a line of it goes before.
func (r *streamRun) passEvent(event eventstream.Event, announce bool) error {
	raw := event.Raw
	if event.Version > 0 {
		r.version = event.Version
	} else if announce {
		raw = versionLine(r.forwarder.config.VersionField, r.version) + raw
	}
	if err := r.sink.Event(raw); err != nil {
		return err
	}
	if r.events == 0 && r.call.Metered {
		r.forwarder.config.Meter.Began(r.call.Tenant, time.Now())
	}
	r.after = event.ID
	r.events++
	return nil
}
