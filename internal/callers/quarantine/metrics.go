package quarantine

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/pathtally/pathtally/internal/callers/exchange"
	"github.com/pathtally/pathtally/internal/clock"
)

// metrics counts broken runs, quarantines, and refused and delayed attempts.
type metrics struct {
	broken      *prometheus.CounterVec
	quarantined prometheus.Counter
	refused     prometheus.Counter
	delayed     prometheus.Counter
}

func newMetrics(registry prometheus.Registerer, table *Table, now clock.Clock) *metrics {
	m := &metrics{
		quarantined: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "pathtally_quarantines_total", Help: "Requests put in quarantine, as this node learned itself or from its peers.",
		}),
		refused: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "pathtally_quarantine_refusals_total", Help: "Attempts that were not sent because replicas end under the request.",
		}),
		delayed: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "pathtally_crash_backoffs_total", Help: "Attempts of items and scorer calls that were delayed because replicas crashed under them.",
		}),
		broken: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pathtally_broken_runs_total", Help: "Runs at replicas whose connection broke, by whether the replica was then alive, ended or unknown.",
		}, []string{"replica"}),
	}
	for _, liveness := range []exchange.Liveness{exchange.Alive, exchange.Dead, exchange.Unknown} {
		m.broken.WithLabelValues(string(liveness))
	}
	registry.MustRegister(m.broken, m.quarantined, m.refused, m.delayed, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "pathtally_quarantined_requests", Help: "Requests that are in quarantine now.",
	}, func() float64 { return float64(table.Len(now())) }))
	return m
}
