package forward

import (
	"time"

	"github.com/pathtally/pathtally/internal/callers/dispatch"
)

// report counts and logs the outcome of a request. Requests that failed, were retried or
// exceeded their objective are always logged, the others as far as successLogLimiter allows.
func (r *request) report(response *BufferedResponse, err error) {
	elapsed := time.Since(r.started)
	config := r.forwarder.config
	config.Metrics.observe(outcomeOf(err), elapsed)
	view := config.Directory.View()
	fields := []any{"request", r.call.ID, "route", r.route.Name, "attempts", r.mayHaveRunCount, "refusals", r.rejections, "tookMs", elapsed.Milliseconds(),
		"configuration", view.Configuration.Version, "viewAgeMs", time.Since(view.Changed).Milliseconds()}
	if r.waited > 0 {
		fields = append(fields, "waitedMs", r.waited.Milliseconds(), "ahead", r.ahead)
	}
	switch {
	case r.verdict != nil && err != nil:
		r.reportNotAdmitted(fields, err)
	case err != nil:
		config.Logger.Info("request failed", append(fields, "error", err.Error())...)
	case r.mayHaveRunCount > 1 || r.rejections > 0 || elapsed > r.objective:
		config.Logger.Info("request served after retries or past its objective", append(fields, "replica", response.Response.Endpoint.Name)...)
	case r.forwarder.successLogLimiter.Allow():
		config.Logger.Info("request served", append(fields, "replica", response.Response.Endpoint.Name)...)
	default:
		config.Metrics.droppedLogLines.Inc()
	}
}

// reportNotAdmitted logs and counts a request that ended because admission control allowed no
// further attempt.
func (r *request) reportNotAdmitted(fields []any, err error) {
	config := r.forwarder.config
	config.Metrics.notAdmitted.WithLabelValues(string(r.verdict.Reason)).Inc()
	if !r.forwarder.refusalLogLimiter.Allow() {
		config.Metrics.droppedLogLines.Inc()
		return
	}
	config.Logger.Info("request not admitted", append(fields, "service", r.admission.service, "tenant", r.call.Tenant, "priority", r.priority(),
		"reason", r.verdict.Reason, "retryAfterMs", r.verdict.RetryAfter.Milliseconds(), "error", err.Error())...)
}

// report counts the outcome of a stream and logs it if the stream failed.
func (r *streamRequest) report(err error) {
	elapsed := time.Since(r.started)
	r.forwarder.config.Metrics.observe(outcomeOf(err), elapsed)
	if err != nil {
		r.forwarder.config.Logger.Info("stream failed", "request", r.call.ID, "route", r.route.Name, "attempts", r.failedAttempts,
			"refusals", r.rejections, "events", r.events, "tookMs", elapsed.Milliseconds(), "error", err.Error())
	}
}

// logDecision logs a decision at verbosity 1.
func (f *Forwarder) logDecision(call *dispatch.Call, event event, next decision) {
	if logger := f.config.Logger.V(1); logger.Enabled() {
		logger.Info("request decision", "request", call.ID, "event", event, "step", next.step, "reason", next.reason)
	}
}
