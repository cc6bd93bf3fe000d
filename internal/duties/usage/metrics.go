package usage

import "github.com/prometheus/client_golang/prometheus"

// Outcomes of reports, as label values of metrics.
const (
	outcomeReported = "reported"
	outcomeFailed   = "failed"
	outcomeGivenUp  = "given_up"
)

type metrics struct{ reports *prometheus.CounterVec }

func newMetrics(registry prometheus.Registerer) *metrics {
	created := &metrics{reports: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "pathtally_usage_reports_total", Help: "Reports of a window's usage by this node, by outcome.",
	}, []string{"outcome"})}
	registry.MustRegister(created.reports)
	return created
}
