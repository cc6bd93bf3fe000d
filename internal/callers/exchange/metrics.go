package exchange

import "github.com/prometheus/client_golang/prometheus"

// Metrics are the figures of a pool.
type Metrics struct {
	dialed *prometheus.CounterVec
	reused *prometheus.CounterVec
}

// NewMetrics returns the figures of a pool, kept in a registry.
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
	// reasonBusy: all of them carried a request.
	reasonBusy = "busy"
	// reasonUnfit: those that rested were closed, too old or held surplus bytes.
	reasonUnfit = "unfit"
)

// reasonOf is why a new connection is opened, by how many kept ones were found to be
// of no use and how many others there are.
func reasonOf(unfit, others int) string {
	switch {
	case unfit > 0:
		return reasonUnfit
	case others > 0:
		return reasonBusy
	}
	return reasonNone
}

func (m *Metrics) noteDialed(purpose Purpose, reason string) {
	if m != nil {
		m.dialed.WithLabelValues(string(purpose.Or(PurposeLive)), reason).Inc()
	}
}

func (m *Metrics) noteReused(purpose Purpose) {
	if m != nil {
		m.reused.WithLabelValues(string(purpose.Or(PurposeLive))).Inc()
	}
}
