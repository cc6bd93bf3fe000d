package dispatch

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/pathtally/pathtally/internal/replicas/routing"
)

// Metrics count requests that were withheld from replicas.
type Metrics struct {
	withheld *prometheus.CounterVec
}

// NewMetrics registers the metrics of dispatching.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	metrics := &Metrics{withheld: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "pathtally_sends_withheld_total", Help: "Requests that were picked a replica for and then not sent there, by reason.",
	}, []string{"reason"})}
	registry.MustRegister(metrics.withheld)
	return metrics
}

// withheldNames are the values of the metric's reason label.
var withheldNames = map[routing.Reason]string{
	routing.ReasonEvacuated: "evacuated",
	routing.ReasonSlowStart: "slow_start",
}

// countWithheld counts a withheld request. The receiver may be nil.
func (m *Metrics) countWithheld(reason routing.Reason) {
	if m != nil {
		m.withheld.WithLabelValues(withheldNames[reason]).Inc()
	}
}
