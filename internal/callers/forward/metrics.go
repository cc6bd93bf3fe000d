package forward

import (
	"errors"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics counts live requests and streams by outcome.
type Metrics struct {
	requests              *prometheus.CounterVec
	latency               prometheus.Histogram
	droppedLogLines       prometheus.Counter
	outsideAllowedRegions prometheus.Counter
	// waiting and limit are the requests that wait and the sends per second that the limits
	// allow, by service.
	waiting, limit *prometheus.GaugeVec
	// notAdmitted counts requests that admission control ended, by reason.
	notAdmitted *prometheus.CounterVec
}

// latencyBuckets are the bucket bounds of the latency histogram, in seconds.
var latencyBuckets = []float64{0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.5, 1, 2.5, 5}

// NewMetrics creates and registers the metrics of a Forwarder.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	metrics := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "pathtally_forwarded_requests_total", Help: "Live requests by how they ended."}, []string{"outcome"}),
		latency:  prometheus.NewHistogram(prometheus.HistogramOpts{Name: "pathtally_forward_seconds", Help: "Time from a whole live request to its whole answer.", Buckets: latencyBuckets}),
	}
	metrics.droppedLogLines = prometheus.NewCounter(prometheus.CounterOpts{Name: "pathtally_log_lines_left_out_total", Help: "Log lines of requests served at once or not admitted that were left out."})
	metrics.outsideAllowedRegions = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "pathtally_requests_without_home_total", Help: "Live requests refused because no replica is in the allowed regions.",
	})
	metrics.waiting = prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "pathtally_requests_waiting", Help: "Live requests that wait for a replica."}, []string{"service"})
	metrics.limit = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "pathtally_admission_limit", Help: "Live requests a second that this node sends to the limited replicas of a service, 0 without a limit.",
	}, []string{"service"})
	metrics.notAdmitted = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "pathtally_requests_not_admitted_total", Help: "Live requests that ended because their service was overloaded.",
	}, []string{"reason"})
	registry.MustRegister(metrics.requests, metrics.latency, metrics.droppedLogLines, metrics.outsideAllowedRegions, metrics.waiting, metrics.limit, metrics.notAdmitted)
	return metrics
}

func (m *Metrics) observe(outcome string, elapsed time.Duration) {
	m.requests.WithLabelValues(outcome).Inc()
	m.latency.Observe(elapsed.Seconds())
}

// outcomeOf returns the outcome label for the error of a request.
func outcomeOf(err error) string {
	var refused *RefusedError
	var lost *LostError
	var broken *BrokenStreamError
	switch {
	case err == nil:
		return "answered"
	case errors.As(err, &refused):
		return "refused"
	case errors.As(err, &lost) && lost.Expired:
		return "expired"
	case errors.As(err, &broken):
		return "broken"
	}
	return "lost"
}
