package ingress

import "github.com/prometheus/client_golang/prometheus"

// Metrics counts requests that fail authentication.
type Metrics struct {
	refusedKeys *prometheus.CounterVec
}

// NewMetrics creates and registers the metrics.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	metrics := &Metrics{refusedKeys: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "pathtally_keys_refused_total", Help: "Requests refused because their key identifies nobody, by reason.",
	}, []string{"reason"})}
	registry.MustRegister(metrics.refusedKeys)
	return metrics
}
