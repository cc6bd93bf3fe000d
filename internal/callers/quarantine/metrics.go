package quarantine

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/pathtally/pathtally/internal/callers/exchange"
	"github.com/pathtally/pathtally/internal/clock"
)

// metrics counts broken runs, quarantines and refused attempts.
type metrics struct {
	broken  *prometheus.CounterVec
	held    prometheus.Counter
	refused prometheus.Counter
}

func newMetrics(registry prometheus.Registerer, table *Table, counting clock.Clock) *metrics {
	made := &metrics{
		held: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "pathtally_quarantines_total", Help: "Requests put in quarantine, as this node learned itself or from its peers.",
		}),
		refused: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "pathtally_quarantine_refusals_total", Help: "Attempts that were not sent because replicas end under the request.",
		}),
		broken: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pathtally_broken_runs_total", Help: "Runs at replicas whose connection broke, by whether the replica was then alive, ended or unknown.",
		}, []string{"replica"}),
	}
	for _, found := range []exchange.Liveness{exchange.Alive, exchange.Dead, exchange.Unknown} {
		made.broken.WithLabelValues(string(found))
	}
	registry.MustRegister(made.broken, made.held, made.refused, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "pathtally_quarantined_requests", Help: "Requests that are in quarantine now.",
	}, func() float64 { return float64(table.Len(counting())) }))
	return made
}
