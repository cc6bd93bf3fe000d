package quarantine

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/pathtally/pathtally/internal/exchange"
)

// metrics count what this node learns of broken runs.
type metrics struct {
	broken *prometheus.CounterVec
}

func newMetrics(registry prometheus.Registerer) *metrics {
	made := &metrics{
		broken: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pathtally_broken_runs_total", Help: "Runs at replicas whose connection broke, by whether the replica was then alive, ended or unknown.",
		}, []string{"replica"}),
	}
	for _, found := range []exchange.Liveness{exchange.Alive, exchange.Ended, exchange.Unknown} {
		made.broken.WithLabelValues(string(found))
	}
	registry.MustRegister(made.broken)
	return made
}
