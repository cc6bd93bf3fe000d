package autoscale

import (
	"errors"

	"github.com/prometheus/client_golang/prometheus"
)

// Outcomes of orders, as label values of metrics.
const (
	outcomeTaken         = "taken"
	outcomeNoneAvailable = "none_to_have"
	outcomeFailed        = "failed"
)

// metrics are the metrics of a Service.
type metrics struct {
	present *prometheus.GaugeVec
	ordered *prometheus.GaugeVec
	orders  *prometheus.CounterVec
}

func newMetrics(registry prometheus.Registerer) *metrics {
	made := &metrics{
		present: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "pathtally_replicas_present", Help: "Replicas that serve or warm up, of services whose replicas can be ordered.",
		}, []string{"service", "zone"}),
		ordered: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "pathtally_replicas_ordered", Help: "Replicas last ordered for a zone, as this node knows.",
		}, []string{"service", "zone"}),
		orders: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pathtally_replica_orders_total", Help: "Orders of replicas sent by this node, by outcome.",
		}, []string{"outcome"}),
	}
	registry.MustRegister(made.present, made.ordered, made.orders)
	return made
}

// show sets the gauges of one service.
func (m *metrics) show(seen *ServiceState, plan *plan) {
	for zone, count := range seen.Present {
		m.present.WithLabelValues(seen.Service, zone).Set(float64(count))
	}
	for zone, count := range plan.ledger.known.Ordered {
		m.ordered.WithLabelValues(seen.Service, zone).Set(float64(count))
	}
}

// count counts an order by its outcome.
func (m *metrics) count(err error) {
	switch {
	case err == nil:
		m.orders.WithLabelValues(outcomeTaken).Inc()
	case errors.Is(err, ErrNoCapacity):
		m.orders.WithLabelValues(outcomeNoneAvailable).Inc()
	default:
		m.orders.WithLabelValues(outcomeFailed).Inc()
	}
}
