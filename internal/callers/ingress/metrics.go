package ingress

import "github.com/prometheus/client_golang/prometheus"

// Metrics count refused callers.
type Metrics struct {
	refusedKeys *prometheus.CounterVec
}

// NewMetrics registers the metrics.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	made := &Metrics{refusedKeys: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "pathtally_keys_refused_total", Help: "Requests refused because their key identifies nobody, by reason.",
	}, []string{"reason"})}
	registry.MustRegister(made.refusedKeys)
	return made
}
