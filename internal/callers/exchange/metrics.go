package exchange

import "github.com/prometheus/client_golang/prometheus"

// Metrics count the connections opened and reused by a pool.
type Metrics struct {
	dialed *prometheus.CounterVec
	reused *prometheus.CounterVec
}

// NewMetrics registers the metrics of a pool.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	made := &Metrics{
		dialed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pathtally_replica_connections_opened_total", Help: "New connections to replicas, by what for and why no kept one served.",
		}, []string{"purpose", "reason"}),
		reused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pathtally_replica_connections_reused_total", Help: "Requests to replicas on kept connections, by what for.",
		}, []string{"purpose"}),
	}
	registry.MustRegister(made.dialed, made.reused)
	return made
}

// The reasons of new connections.
const (
	// reasonNone: there was no connection to the replica.
	reasonNone = "none"
	// reasonBusy: all connections carried a request.
	reasonBusy = "busy"
	// reasonUnfit: the idle ones were closed, idle for too long, or had surplus bytes.
	reasonUnfit = "unfit"
)

// reasonOf returns why a new connection is opened, by the number of idle ones that could
// not be used and the number of others.
func reasonOf(unfit, others int) string {
	switch {
	case unfit > 0:
		return reasonUnfit
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
