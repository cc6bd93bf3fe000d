package forward

import (
	"context"
	"time"

	"github.com/pathtally/pathtally/internal/callers/dispatch"
	"github.com/pathtally/pathtally/internal/replicas/directory"
)

// StreamSink receives a stream for the caller.
type StreamSink interface {
	// Begin receives the response head. It is called at most once, before Event.
	Begin(response *dispatch.Response)
	// Event receives one complete event, or the whole body of a response that is not a
	// stream.
	Event(raw string) error
}

// streamRequest is a stream in progress. It is used by one goroutine.
type streamRequest struct {
	forwarder *Forwarder
	route     *directory.Route
	call      *dispatch.Call
	sink      StreamSink
	started   time.Time
	// firstTarget is the index of the target of the route that is tried first.
	firstTarget int
	// headForwarded is set once the response head has been forwarded.
	headForwarded bool
	// events is the number of forwarded events, lastEventID the id of the last one, and
	// version the weight version that generated it.
	events      int
	lastEventID int
	version     int64
	// tried lists the replicas that the next pick skips.
	tried []string
	// failedAttempts is the number of failed attempts that may have run, rejections
	// the number of attempts that certainly did not run.
	failedAttempts int
	rejections     int
}

// Stream forwards a request whose response is an event stream, and forwards complete
// events as they arrive. A stream of a resumable route is resumed at another replica if
// it breaks or is idle for too long. The error is a *RefusedError, a *LostError, or, once
// the response head has been forwarded, a *BrokenStreamError.
func (f *Forwarder) Stream(ctx context.Context, route *directory.Route, call *dispatch.Call, sink StreamSink) error {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	request := &streamRequest{
		forwarder: f, route: route, call: call, sink: sink, started: time.Now(), firstTarget: f.splitter.next(route), lastEventID: call.LastEventID,
	}
	err := f.checkAllowedRegions(route, call)
	if err == nil {
		err = request.run(ctx)
	}
	request.report(err)
	return err
}

// run executes steps until the stream is complete or a step ends it.
func (r *streamRequest) run(ctx context.Context) error {
	event, err := r.send(ctx)
	for err != nil {
		next := r.decide(ctx, event, err)
		switch next.step {
		case stepSend:
			event, err = r.send(ctx)
		case stepWaitForCapacity:
			event, err = r.waitForCapacity(ctx)
		default:
			return r.failure(next, event, err)
		}
	}
	return nil
}

// decide selects the step that follows an event and its error.
func (r *streamRequest) decide(ctx context.Context, event event, err error) decision {
	next := streamState{
		event: event, resumable: r.route.Resumable, attemptLimit: r.route.Attempts, failedAttempts: r.failedAttempts,
		rejections: r.rejections, tried: len(r.tried), notRun: !dispatch.MayHaveRun(err), quarantined: isQuarantined(err),
		headForwarded: r.headForwarded, hasEvents: r.events > 0, contextEnded: ctx.Err() != nil,
	}.next()
	r.forwarder.logDecision(r.call, event, next)
	return next
}

// send makes an attempt at a replica that has not been tried yet, if there is one. The
// returned event says what the error came from; ignore it if the error is nil.
func (r *streamRequest) send(ctx context.Context) (event, error) {
	endpoint, err := r.forwarder.pick(r.route, r.firstTarget, r.tried, r.call)
	if err != nil {
		return eventNoReplica, err
	}
	r.tried = append(r.tried, endpoint.Name)
	err = r.attempt(ctx, endpoint)
	if err != nil {
		r.recordFailure(err)
	}
	return eventAttemptFailed, err
}

func (r *streamRequest) recordFailure(err error) {
	switch {
	case isQuarantined(err):
	case dispatch.MayHaveRun(err):
		r.failedAttempts++
	default:
		r.rejections++
	}
}

// waitForCapacity waits for capacityRetryDelay, then sends the request again, with all replicas
// eligible.
func (r *streamRequest) waitForCapacity(ctx context.Context) (event, error) {
	r.tried = nil
	if !sleep(ctx, capacityRetryDelay) {
		return eventNoReplica, ctx.Err()
	}
	return r.send(ctx)
}

// failure returns the error of a stream that was ended by a decision.
func (r *streamRequest) failure(last decision, event event, err error) error {
	switch last.step {
	case stepAbortStream:
		return &BrokenStreamError{Events: r.events, Cause: err}
	case stepFailExpired:
		return &LostError{Expired: true, Cause: err}
	case stepFailLost:
		return &LostError{Cause: err}
	}
	var filterErr error
	if event == eventNoReplica && len(r.tried) == 0 {
		filterErr = err
	}
	return newRefusal(last.refusal, err, filterErr)
}
