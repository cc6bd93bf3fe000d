package dispatch

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/pathtally/pathtally/internal/replicas/routing"
)

// Metrics counts requests that failed with a WithheldError and the load reports of replicas.
type Metrics struct {
	withheld    *prometheus.CounterVec
	loadReports *prometheus.CounterVec
}

// NewMetrics creates and registers the metrics of a Dispatcher.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	metrics := &Metrics{
		withheld: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pathtally_sends_withheld_total", Help: "Requests that were picked a replica for and then not sent there, by reason.",
		}, []string{"reason"}),
		loadReports: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pathtally_replica_load_reports_total", Help: "Answers of replicas, by whether their load report was usable.",
		}, []string{"outcome"}),
	}
	registry.MustRegister(metrics.withheld, metrics.loadReports)
	return metrics
}

// withheldLabels maps reasons to values of the reason label.
var withheldLabels = map[routing.Reason]string{
	routing.ReasonEvacuated: "evacuated",
	routing.ReasonSlowStart: "slow_start",
}

// countWithheld counts a withheld request. The receiver may be nil.
func (m *Metrics) countWithheld(reason routing.Reason) {
	if m != nil {
		m.withheld.WithLabelValues(withheldLabels[reason]).Inc()
	}
}

// countLoadReport counts a response by its load report. The receiver may be nil.
func (m *Metrics) countLoadReport(metadata *ResponseMetadata) {
	if m != nil {
		m.loadReports.WithLabelValues(loadOutcome(metadata)).Inc()
	}
}
