package autoscale

import (
	"errors"

	"github.com/prometheus/client_golang/prometheus"
)

// Outcomes of orders, as label values of metrics.
const (
	outcomeAccepted   = "taken"
	outcomeNoCapacity = "none_to_have"
	outcomeFailed     = "failed"
)

// metrics are the metrics of a Service.
type metrics struct {
	present *prometheus.GaugeVec
	ordered *prometheus.GaugeVec
	orders  *prometheus.CounterVec
}

func newMetrics(registry prometheus.Registerer) *metrics {
	created := &metrics{
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
	registry.MustRegister(created.present, created.ordered, created.orders)
	return created
}

// setGauges sets the gauges of one service.
func (m *metrics) setGauges(state *ServiceState, tracker *tracker) {
	for zone, count := range state.Present {
		m.present.WithLabelValues(state.Service, zone).Set(float64(count))
	}
	for zone, count := range tracker.ledger.content.Ordered {
		m.ordered.WithLabelValues(state.Service, zone).Set(float64(count))
	}
}

// countOrder counts an order by its outcome.
func (m *metrics) countOrder(err error) {
	switch {
	case err == nil:
		m.orders.WithLabelValues(outcomeAccepted).Inc()
	case errors.Is(err, ErrNoCapacity):
		m.orders.WithLabelValues(outcomeNoCapacity).Inc()
	default:
		m.orders.WithLabelValues(outcomeFailed).Inc()
	}
}
