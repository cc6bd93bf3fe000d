package forward

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/pathtally/pathtally/internal/callers/admission"
	"github.com/pathtally/pathtally/internal/callers/dispatch"
	"github.com/pathtally/pathtally/internal/callers/exchange"
	"github.com/pathtally/pathtally/internal/replicas/directory"
	"github.com/pathtally/pathtally/internal/replicas/routing"
)

// minOverdueInterval is the shortest interval of reports of an attempt that has exceeded its
// objective. Each takes the mutex of the service; objectives may be a millisecond.
const minOverdueInterval = 20 * time.Millisecond

// admitted reports whether admission control applies to the request: it has a latency
// objective and a buffered response, and is no call of a batch job's scorer, which waits for
// seconds and has a limit of its own.
func (r *request) admitted() bool {
	return r.route.Objective > 0 && (r.route.Kind == directory.RouteSafe || r.route.Kind == directory.RouteUnsafe) && r.call.Purpose != exchange.PurposeScorer
}

// overloaded reports whether the service of the request is overloaded.
func (r *request) overloaded() bool { return r.admission != nil && r.admission.active.Load() }

// priority returns the priority of the request, 0 being the highest.
func (r *request) priority() int {
	return r.forwarder.config.Directory.View().Configuration.Tenants.PriorityOf(r.call.Tenant, r.route.Priority)
}

// admissionRequest returns the request as the queue sees it, without replicas.
func (r *request) admissionRequest() *admission.Request {
	return &admission.Request{Priority: r.priority(), Tenant: r.call.Tenant, Arrived: r.started, Deadline: r.call.Deadline, Objective: r.objective}
}

// sendAdmitted sends the request once the service's queue admits it, to the picked endpoint if
// that is not limited.
func (r *request) sendAdmitted(ctx context.Context, picked *routing.Endpoint) decision {
	if len(r.attempts) > 0 && !r.admission.retries.Load().Spend() {
		r.verdict = &admission.Verdict{Reason: admission.ReasonRetries}
		return r.decide(ctx, eventNotAdmitted)
	}
	endpoints := []*routing.Endpoint{picked}
	for _, endpoint := range r.forwarder.eligible(r.route, r.admission.service, r.tried, r.call) {
		if endpoint != picked {
			endpoints = append(endpoints, endpoint)
		}
	}
	entry := r.admissionRequest()
	for _, endpoint := range endpoints {
		entry.Replicas = append(entry.Replicas, endpoint.Name)
	}
	result := r.admission.arrive(entry)
	if result == nil {
		return r.sendTo(ctx, picked, nil)
	}
	var verdict admission.Verdict
	select {
	case <-ctx.Done():
	case verdict = <-result:
	}
	// Both channels may be ready.
	if ctx.Err() != nil {
		r.admission.leave(entry, verdict, result)
		return r.decide(ctx, eventContextEnded)
	}
	r.waited += verdict.Waited
	r.ahead = max(r.ahead, verdict.Ahead)
	if verdict.Replica == "" {
		r.verdict = &verdict
		return r.sendElsewhere(ctx, entry.Replicas)
	}
	index := slices.IndexFunc(endpoints, func(endpoint *routing.Endpoint) bool { return endpoint.Name == verdict.Replica })
	return r.sendTo(ctx, endpoints[index], nil)
}

// sendElsewhere sends a request that its service did not admit to another service of the route,
// if there is one.
func (r *request) sendElsewhere(ctx context.Context, replicas []string) decision {
	r.declined++
	if r.declined < len(r.route.Targets) {
		r.tried = append(r.tried, replicas...)
		if endpoint, err := r.forwarder.pick(r.route, r.firstTarget, r.tried, r.call); err == nil {
			r.admission = r.forwarder.admissions.of(endpoint.Model)
			if r.overloaded() {
				return r.sendAdmitted(ctx, endpoint)
			}
			return r.sendTo(ctx, endpoint, nil)
		}
	}
	return r.decide(ctx, eventNotAdmitted)
}

// refusal returns the error for a request that has not run.
func (r *request) refusal(general string) *RefusedError {
	refused := newRefusal(general, r.lastErr, r.filterErr)
	if refused.Reason != ReasonAllFull || r.admission == nil {
		return refused
	}
	if r.verdict == nil || r.verdict.RetryAfter == 0 {
		if !r.overloaded() {
			return refused
		}
		refused.RetryAfter = r.admission.retryAfter(r.admissionRequest())
		if r.verdict != nil {
			r.verdict.RetryAfter = refused.RetryAfter
		}
		return refused
	}
	refused.RetryAfter = r.verdict.RetryAfter
	if r.rejections == 0 {
		refused.Reason, refused.Cause = string(r.verdict.Reason), ErrOverloaded
	}
	return refused
}

// reportResult tells admission control the outcome of an attempt.
func (r *request) reportResult(ctx context.Context, result attemptResult) {
	r.running = slices.DeleteFunc(r.running, func(attempt runningAttempt) bool { return attempt.endpoint == result.endpoint })
	if r.admission == nil {
		return
	}
	service := r.forwarder.admissions.of(result.endpoint.Model)
	if result.err == nil {
		if result.response.Response.Status < http.StatusInternalServerError {
			service.retries.Load().RecordSuccess()
		}
		service.answered(r.answer(result.endpoint, result.took))
		return
	}
	var notRun *dispatch.NotRunError
	var withheld *dispatch.WithheldError
	switch {
	case errors.As(result.err, &notRun):
		if notRun.Status == http.StatusServiceUnavailable && !notRun.AddressReassigned {
			service.rejected(r.answer(result.endpoint, result.endpoint.State.Latency.Estimate()))
		}
	case errors.As(result.err, &withheld), isQuarantined(result.err), ctx.Err() != nil:
	default:
		service.failed(result.replica)
	}
}

// reportOverdue tells admission control of attempts that have exceeded the objective.
func (r *request) reportOverdue() {
	wait := max(r.objective, minOverdueInterval)
	for _, attempt := range r.running {
		took := time.Since(attempt.at)
		if took <= r.objective {
			wait = min(wait, r.objective-took)
		} else if r.admission != nil {
			pending := r.answer(attempt.endpoint, took)
			pending.Pending = true
			r.forwarder.admissions.of(attempt.endpoint.Model).answered(pending)
		}
	}
	r.overdue.Reset(wait + time.Millisecond)
}

// answer describes an attempt for admission control.
func (r *request) answer(endpoint *routing.Endpoint, took time.Duration) admission.Answer {
	answer := admission.Answer{
		Replica: endpoint.Name, Objective: r.objective, Took: took, Base: endpoint.State.Latency.Least(),
		InFlight: int(endpoint.State.InFlight.Load()),
	}
	if report, known := endpoint.State.CurrentReport(time.Now()); known {
		answer.Load = admission.ReplicaLoad{Running: report.Running, Waiting: report.Waiting, Slots: report.Slots, Slowdown: report.Slowdown}
	}
	return answer
}
