package forward

import "time"

// report counts and logs how a request ended. Every one that was not served at
// once is told; of the ordinary ones as many as the log has room for.
func (r *run) report(whole *Whole, err error) {
	took := time.Since(r.started)
	config := r.forwarder.config
	config.Metrics.observe(outcomeOf(err), took)
	view := config.Directory.View()
	known := []any{"request", r.call.ID, "route", r.route.Name, "attempts", r.counted, "refusals", r.refusals, "tookMs", took.Milliseconds(),
		"configuration", view.Configuration.Version, "viewAgeMs", time.Since(view.Changed).Milliseconds()}
	switch {
	case err != nil:
		config.Logger.Info("request not served", append(known, "error", err.Error())...)
	case r.counted > 1 || r.refusals > 0 || took > r.objective:
		config.Logger.Info("request served late or after retries", append(known, "replica", whole.Answer.Endpoint.Name)...)
	case r.forwarder.ordinary.Allow():
		config.Logger.Info("request served", append(known, "replica", whole.Answer.Endpoint.Name)...)
	default:
		config.Metrics.untold.Inc()
	}
}
