package gateway

import (
	"github.com/prometheus/client_golang/prometheus"
)

// Metrics are the metrics of the request path, described in docs/OPERATIONS.md.
type Metrics struct {
	Registry *prometheus.Registry
	requests *prometheus.CounterVec
	refused  *prometheus.CounterVec
	seconds  *prometheus.HistogramVec
	retries  *prometheus.CounterVec
	moved    prometheus.Counter
}

// NewMetrics returns metrics registered in a new registry.
func NewMetrics() *Metrics {
	metrics := &Metrics{
		Registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "pathtally_requests_total", Help: "Requests ended, by group and outcome."}, []string{"group", "outcome"}),
		refused:  prometheus.NewCounterVec(prometheus.CounterOpts{Name: "pathtally_refused_total", Help: "Requests refused, by code."}, []string{"code"}),
		seconds:  prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "pathtally_request_seconds", Help: "Time from arrival to the end of the answer.", Buckets: prometheus.ExponentialBuckets(0.005, 2, 14)}, []string{"group"}),
		retries:  prometheus.NewCounterVec(prometheus.CounterOpts{Name: "pathtally_retries_total", Help: "Dispatches after a failed one, by group."}, []string{"group"}),
		moved:    prometheus.NewCounter(prometheus.CounterOpts{Name: "pathtally_streams_moved_total", Help: "Streams that went on at another engine."}),
	}
	metrics.Registry.MustRegister(metrics.requests, metrics.refused, metrics.seconds, metrics.retries, metrics.moved)
	return metrics
}

// Gauge registers a gauge whose value is read from a function at each scrape.
func (m *Metrics) Gauge(name, help string, read func() float64) {
	m.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, read))
}
