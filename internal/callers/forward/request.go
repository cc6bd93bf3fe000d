package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/pathtally/pathtally/internal/callers/admission"
	"github.com/pathtally/pathtally/internal/callers/dispatch"
	"github.com/pathtally/pathtally/internal/replicas/directory"
	"github.com/pathtally/pathtally/internal/replicas/routing"
)

// defaultObjective is the latency objective of a route that declares none.
const defaultObjective = time.Second

// attemptResult is the outcome of one attempt.
type attemptResult struct {
	replica  string
	endpoint *routing.Endpoint
	took     time.Duration
	response *BufferedResponse
	err      error
}

// runningAttempt is an attempt in progress.
type runningAttempt struct {
	endpoint *routing.Endpoint
	at       time.Time
}

// request is a live request in progress. It is used by one goroutine; attempts run in
// goroutines of their own and send their outcome to results.
type request struct {
	forwarder *Forwarder
	route     *directory.Route
	call      *dispatch.Call
	// repeatable is set if the request may run more than once.
	repeatable bool
	objective  time.Duration
	started    time.Time
	// firstTarget is the index of the target of the route that is tried first.
	firstTarget int

	// admission is the queue of the service to which the last attempt was sent, nil for
	// requests without admission control.
	admission *serviceAdmission
	// verdict is the refusal by the queue, if any. waited and ahead are the time in the queue
	// and the number of requests before this one there.
	verdict *admission.Verdict
	waited  time.Duration
	ahead   int
	// declined is the number of services that did not admit the request.
	declined int
	// running lists the attempts in progress, overdue fires when one of them may have
	// exceeded the objective.
	running []runningAttempt
	overdue *time.Timer

	results chan attemptResult
	// tried lists the replicas that the next pick skips.
	tried []string
	// attempts lists all attempts, including those that did not run.
	attempts attemptLog
	// mayHaveRunCount is the number of attempts that are running or may have run,
	// rejections the number of attempts that certainly did not run.
	mayHaveRunCount int
	rejections      int
	// inProgress is the number of attempts that have not ended.
	inProgress int
	// mayHaveRun is set once an attempt that may have run has ended.
	mayHaveRun bool
	// lastErr is the error of the last failed attempt, or of the first pick if no
	// attempt failed before it.
	lastErr error
	// filterErr is the error of a pick that found no replica although none was
	// skipped as already tried. A later pick that finds a replica resets it.
	filterErr error
	// response is the most recent complete response, failures the number of responses
	// with status 500.
	response *BufferedResponse
	failures int
	// held is what the bodies of the responses have reserved.
	held *reservation
}

func (f *Forwarder) newRequest(route *directory.Route, call *dispatch.Call) *request {
	objective := route.Objective
	if objective <= 0 {
		objective = defaultObjective
	}
	return &request{
		forwarder: f, route: route, call: call, repeatable: route.Kind == directory.RouteSafe, objective: objective,
		started: time.Now(), firstTarget: f.splitter.next(route), results: make(chan attemptResult, route.Attempts+maxRejections),
		held: &reservation{budget: f.responseBytes},
	}
}

// run executes steps until one ends the request. The error is a *RefusedError or a
// *LostError.
func (r *request) run(ctx context.Context) (*BufferedResponse, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	next := r.send(ctx)
	hedge := time.NewTimer(hedgeDelay(r.objective))
	defer hedge.Stop()
	r.overdue = time.NewTimer(r.objective)
	defer r.overdue.Stop()
	for {
		switch next.step {
		case stepSend:
			next = r.send(ctx)
		case stepAwait:
			next = r.await(ctx, hedge.C)
		case stepWaitForCapacity:
			next = r.waitForCapacity(ctx)
		case stepRespond:
			return r.response, nil
		case stepRefuse:
			return nil, r.refusal(next.refusal)
		case stepFailExpired:
			return nil, &LostError{Expired: true, Cause: ctx.Err()}
		default:
			return nil, &LostError{Cause: r.lastErr}
		}
	}
}

// decide selects the step that follows an event.
func (r *request) decide(ctx context.Context, event event) decision {
	next := requestState{
		event: event, repeatable: r.repeatable, attemptLimit: r.route.Attempts, mayHaveRunCount: r.mayHaveRunCount, rejections: r.rejections,
		inProgress: r.inProgress, tried: len(r.tried), mayHaveRun: r.mayHaveRun, quarantined: isQuarantined(r.lastErr),
		overloaded: r.overloaded(), hasResponse: r.response != nil, contextEnded: ctx.Err() != nil, elapsed: time.Since(r.started), objective: r.objective,
	}.next()
	r.forwarder.logDecision(r.call, event, next)
	return next
}

// send starts an attempt at a replica that has not been tried yet, if there is one. If the
// service is overloaded, the request first enters the service's queue.
func (r *request) send(ctx context.Context) decision {
	endpoint, err := r.forwarder.pick(r.route, r.firstTarget, r.tried, r.call)
	if err != nil && r.overloaded() && len(r.tried) > 0 {
		r.tried = nil
		endpoint, err = r.forwarder.pick(r.route, r.firstTarget, r.tried, r.call)
	}
	if err == nil && r.admitted() {
		r.admission = r.forwarder.admissions.of(endpoint.Model)
		// The state may change at any time. A request with an attempt in progress must not wait
		// in the queue, since it would not notice the response.
		if overloaded := r.overloaded(); overloaded && r.inProgress > 0 {
			return r.decide(ctx, eventNotAdmitted)
		} else if overloaded {
			return r.sendAdmitted(ctx, endpoint)
		}
	}
	return r.sendTo(ctx, endpoint, err)
}

// sendTo starts an attempt at an endpoint, or handles the error of the pick.
func (r *request) sendTo(ctx context.Context, endpoint *routing.Endpoint, err error) decision {
	if err != nil {
		if r.lastErr == nil {
			r.lastErr = err
		}
		if len(r.tried) == 0 {
			r.filterErr = err
		}
		return r.decide(ctx, eventNoReplica)
	}
	r.filterErr, r.verdict = nil, nil
	r.mayHaveRunCount++
	r.inProgress++
	call := *r.call
	call.AtMostOnce = !r.repeatable
	r.tried = append(r.tried, endpoint.Name)
	r.attempts.recordSent(endpoint.Name)
	start := time.Now()
	r.running = append(r.running, runningAttempt{endpoint: endpoint, at: start})
	go func() {
		response, err := r.forwarder.attempt(ctx, endpoint, &call, r.held)
		r.results <- attemptResult{replica: endpoint.Name, endpoint: endpoint, took: time.Since(start), response: response, err: err}
	}()
	return decision{step: stepAwait, reason: reasonInProgress}
}

// await waits for the next event of the attempts in progress.
func (r *request) await(ctx context.Context, hedge <-chan time.Time) decision {
	select {
	case <-ctx.Done():
		return r.decide(ctx, eventContextEnded)
	case <-hedge:
		return r.decide(ctx, eventHedgeDue)
	case <-r.overdue.C:
		r.reportOverdue()
		return decision{step: stepAwait, reason: reasonInProgress}
	case result := <-r.results:
		r.inProgress--
		r.reportResult(ctx, result)
		return r.decide(ctx, r.recordResult(result))
	}
}

// waitForCapacity waits for capacityRetryDelay, then sends the request again, with all replicas
// eligible.
func (r *request) waitForCapacity(ctx context.Context) decision {
	if !sleep(ctx, capacityRetryDelay) {
		return r.decide(ctx, eventContextEnded)
	}
	r.tried = nil
	return r.send(ctx)
}

// recordResult records the outcome of an attempt and returns the matching event.
func (r *request) recordResult(result attemptResult) event {
	if result.err != nil {
		r.recordError(result)
		return eventAttemptFailed
	}
	r.attempts.recordEnd(result.replica, true, false)
	status := result.response.Response.Status
	if status == http.StatusInternalServerError {
		r.failures++
	}
	result.response.Failures, result.response.Rejections = r.failures, r.rejections
	r.response, r.mayHaveRun = result.response, true
	if status >= http.StatusInternalServerError {
		return eventErrorStatus
	}
	return eventResponse
}

func (r *request) recordError(result attemptResult) {
	r.lastErr = result.err
	if dispatch.MayHaveRun(result.err) {
		r.mayHaveRun = true
	} else {
		r.mayHaveRunCount--
		r.rejections++
		r.attempts.recordEnd(result.replica, false, true)
	}
	r.forwarder.config.Logger.V(1).Info("attempt failed", "request", r.call.ID, "replica", result.replica, "error", result.err.Error())
}
