package watchcache

import "github.com/prometheus/client_golang/prometheus"

// metrics holds the metrics of a Source.
type metrics struct {
	reading  prometheus.Gauge
	answered prometheus.Counter
	polls    *prometheus.CounterVec
}

func newMetrics(registry prometheus.Registerer) *metrics {
	m := &metrics{
		reading:  prometheus.NewGauge(prometheus.GaugeOpts{Name: "pathtally_store_reading", Help: "1 while this node reads the metadata store itself."}),
		answered: prometheus.NewCounter(prometheus.CounterOpts{Name: "pathtally_watch_polls_answered_total", Help: "Polls of followers answered."}),
		polls:    prometheus.NewCounterVec(prometheus.CounterOpts{Name: "pathtally_watch_polls_total", Help: "Polls of readers, by outcome."}, []string{"outcome"}),
	}
	registry.MustRegister(m.reading, m.answered, m.polls)
	return m
}
