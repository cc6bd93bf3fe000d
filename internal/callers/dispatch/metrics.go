package dispatch

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/pathtally/pathtally/internal/replicas/routing"
)

// Metrics counts requests that failed with a WithheldError.
type Metrics struct {
	withheld *prometheus.CounterVec
}

// NewMetrics creates and registers the metrics of a Dispatcher.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	metrics := &Metrics{withheld: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "pathtally_sends_withheld_total", Help: "Requests that were picked a replica for and then not sent there, by reason.",
	}, []string{"reason"})}
	registry.MustRegister(metrics.withheld)
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
