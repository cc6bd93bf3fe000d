package intake

import "github.com/prometheus/client_golang/prometheus"

// Reasons for closing a connection.
const (
	// reasonConnections: the limit on connections was reached.
	reasonConnections = "connections"
	// reasonHeadSize: the head of a request was over the limit.
	reasonHeadSize = "head_size"
	// reasonHeadMemory: the heads of all requests took too much memory.
	reasonHeadMemory = "head_memory"
	// reasonIncomplete: a request whose body was incomplete kept memory that another one needed.
	reasonIncomplete = "incomplete"
	// reasonUnread: a response that was not read kept memory that another one needed.
	reasonUnread = "unread"
)

// Metrics counts the connections that listeners close. A nil Metrics counts nothing.
type Metrics struct{ closed *prometheus.CounterVec }

// NewMetrics creates and registers the metrics of the listeners of a node.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	metrics := &Metrics{closed: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "pathtally_caller_connections_closed_total", Help: "Connections that were closed at a limit, by the server and the limit.",
	}, []string{"server", "reason"})}
	registry.MustRegister(metrics.closed)
	return metrics
}

func (m *Metrics) count(server, reason string) {
	if m != nil {
		m.closed.WithLabelValues(server, reason).Inc()
	}
}
