package forward

import (
	"context"
	"time"

	"github.com/pathtally/pathtally/internal/callers/dispatch"
	"github.com/pathtally/pathtally/internal/replicas/directory"
)

// StreamSink takes a stream on its way to the caller.
type StreamSink interface {
	// Begin takes the head of the answer, once.
	Begin(answer *dispatch.Answer)
	// Event takes one whole event.
	Event(raw string) error
}

// streamRequest is one stream in progress. It belongs to one goroutine.
type streamRequest struct {
	forwarder *Forwarder
	route     *directory.Route
	call      *dispatch.Call
	sink      StreamSink
	started   time.Time
	// firstTarget is the index of the route's target that is tried first.
	firstTarget int
	// begun is set once the head has gone to the caller.
	begun bool
	// events is the number of events passed on, lastEvent the id of the last of them,
	// and version the weight version at it.
	events    int
	lastEvent int
	version   int64
	// tried are the replicas that are left out at the next pick.
	tried []string
	// failedAttempts is the number of ended attempts that may have run, and refusals
	// that of attempts that certainly did not.
	failedAttempts int
	refusals       int
}

// Stream forwards a request whose answer is a series of events, and passes on whole
// events as they come. A stream of a resumable route goes on at another replica if it
// breaks off or falls silent. The error is a *RefusedError, a *LostError, or, once the
// caller has the head, a *BrokenStreamError.
func (f *Forwarder) Stream(ctx context.Context, route *directory.Route, call *dispatch.Call, sink StreamSink) error {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	request := &streamRequest{
		forwarder: f, route: route, call: call, sink: sink, started: time.Now(), firstTarget: f.split.next(route), lastEvent: call.AfterEvent,
	}
	err := f.checkHomes(route, call)
	if err == nil {
		err = request.run(ctx)
	}
	request.report(err)
	return err
}

// run carries out decisions until the stream is whole or one ends it.
func (r *streamRequest) run(ctx context.Context) error {
	event, err := r.send(ctx)
	for err != nil {
		next := r.decide(ctx, event, err)
		switch next.step {
		case stepSend:
			event, err = r.send(ctx)
		case stepWaitForRoom:
			event, err = r.waitForRoom(ctx)
		default:
			return r.failure(next, event, err)
		}
	}
	return nil
}

// decide returns what follows an event with an error.
func (r *streamRequest) decide(ctx context.Context, event event, err error) decision {
	decided := streamSituation{
		event: event, resumable: r.route.Resumable, attemptLimit: r.route.Attempts, failedAttempts: r.failedAttempts,
		refusals: r.refusals, tried: len(r.tried), notRun: !dispatch.MayHaveRun(err), quarantined: isQuarantined(err),
		begun: r.begun, hasEvents: r.events > 0, contextEnded: ctx.Err() != nil,
	}.next()
	r.forwarder.logDecision(r.call, event, decided)
	return decided
}

// send makes an attempt at a replica that is not tried yet, if there is one. The event
// belongs to the error.
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
		r.refusals++
	}
}

// waitForRoom lets replicas tried before have the stream again after a delay.
func (r *streamRequest) waitForRoom(ctx context.Context) (event, error) {
	r.tried = nil
	if !sleep(ctx, roomRetryDelay) {
		return eventNoReplica, ctx.Err()
	}
	return r.send(ctx)
}

// failure returns the error of a stream that a decision ended.
func (r *streamRequest) failure(ended decision, event event, err error) error {
	switch ended.step {
	case stepBreakOff:
		return &BrokenStreamError{Events: r.events, Cause: err}
	case stepExpire:
		return &LostError{Expired: true, Cause: err}
	case stepLose:
		return &LostError{Cause: err}
	}
	var excludedAll error
	if event == eventNoReplica && len(r.tried) == 0 {
		excludedAll = err
	}
	return newRefusal(ended.refusal, err, excludedAll)
}
