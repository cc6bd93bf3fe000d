package forward

import (
	"time"

	"github.com/pathtally/pathtally/internal/callers/dispatch"
)

// report counts and logs the outcome of a request. Requests that failed, were retried or
// exceeded their objective are always logged, the others as far as promptLines allows.
func (r *request) report(answer *BufferedResponse, err error) {
	took := time.Since(r.started)
	config := r.forwarder.config
	config.Metrics.observe(outcomeOf(err), took)
	view := config.Directory.View()
	known := []any{"request", r.call.ID, "route", r.route.Name, "attempts", r.mayHaveRunCount, "refusals", r.refusals, "tookMs", took.Milliseconds(),
		"configuration", view.Configuration.Version, "viewAgeMs", time.Since(view.Changed).Milliseconds()}
	switch {
	case err != nil:
		config.Logger.Info("request not served", append(known, "error", err.Error())...)
	case r.mayHaveRunCount > 1 || r.refusals > 0 || took > r.objective:
		config.Logger.Info("request served late or after retries", append(known, "replica", answer.Response.Endpoint.Name)...)
	case r.forwarder.promptLines.Allow():
		config.Logger.Info("request served", append(known, "replica", answer.Response.Endpoint.Name)...)
	default:
		config.Metrics.omittedLines.Inc()
	}
}

// report counts the outcome of a stream and logs it if the stream failed.
func (r *streamRequest) report(err error) {
	took := time.Since(r.started)
	r.forwarder.config.Metrics.observe(outcomeOf(err), took)
	if err != nil {
		r.forwarder.config.Logger.Info("stream not whole", "request", r.call.ID, "route", r.route.Name, "attempts", r.failedAttempts,
			"refusals", r.refusals, "events", r.events, "tookMs", took.Milliseconds(), "error", err.Error())
	}
}

// logDecision logs a decision at verbosity 1.
func (f *Forwarder) logDecision(call *dispatch.Call, event event, decided decision) {
	if logger := f.config.Logger.V(1); logger.Enabled() {
		logger.Info("request decision", "request", call.ID, "event", event, "step", decided.step, "reason", decided.reason)
	}
}
