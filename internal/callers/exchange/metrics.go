package exchange

import "github.com/prometheus/client_golang/prometheus"

// Metrics counts the connections that a pool opens and reuses.
type Metrics struct {
	dialed *prometheus.CounterVec
	reused *prometheus.CounterVec
}

// NewMetrics creates and registers the metrics of a Pool.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	metrics := &Metrics{
		dialed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pathtally_replica_connections_opened_total", Help: "New connections to replicas, by what for and why no kept one served.",
		}, []string{"purpose", "reason"}),
		reused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pathtally_replica_connections_reused_total", Help: "Requests to replicas on kept connections, by what for.",
		}, []string{"purpose"}),
	}
	registry.MustRegister(metrics.dialed, metrics.reused)
	return metrics
}

// Reasons for opening a connection instead of reusing one.
const (
	// reasonNone: there was no connection to the replica.
	reasonNone = "none"
	// reasonBusy: all connections were carrying requests.
	reasonBusy = "busy"
	// reasonUnusable: the idle connections were closed, had been idle for too long, or had
	// unsolicited data.
	reasonUnusable = "unfit"
)

// reasonOf returns the reason for opening a connection, given the number of idle connections
// that could not be reused and the number of other connections to the address.
func reasonOf(unusable, others int) string {
	switch {
	case unusable > 0:
		return reasonUnusable
	case others > 0:
		return reasonBusy
	}
	return reasonNone
}

func (m *Metrics) recordDialed(purpose Purpose, reason string) {
	if m != nil {
		m.dialed.WithLabelValues(string(purpose.Or(PurposeLive)), reason).Inc()
	}
}

func (m *Metrics) recordReused(purpose Purpose) {
	if m != nil {
		m.reused.WithLabelValues(string(purpose.Or(PurposeLive))).Inc()
	}
}
