package transport

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/pathtally/pathtally/internal/wire"
)

// The directions of messages, as metric labels.
const (
	directionIn  = "in"
	directionOut = "out"
)

// Traffic counts the messages between nodes and their bytes by kind and direction. A nil
// Traffic counts nothing.
type Traffic struct {
	messages *prometheus.CounterVec
	bytes    *prometheus.CounterVec
}

// NewTraffic returns the counters and registers them.
func NewTraffic(registry prometheus.Registerer) *Traffic {
	labels := []string{"kind", "direction"}
	traffic := &Traffic{
		messages: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "pathtally_peer_messages_total", Help: "Messages between nodes, by kind and direction."}, labels),
		bytes:    prometheus.NewCounterVec(prometheus.CounterOpts{Name: "pathtally_peer_bytes_total", Help: "Bytes of messages between nodes, by kind and direction."}, labels),
	}
	registry.MustRegister(traffic.messages, traffic.bytes)
	return traffic
}

func (t *Traffic) count(message wire.Message, direction string, bytes int) {
	if t == nil {
		return
	}
	kind := wire.KindOf(message)
	t.messages.WithLabelValues(kind, direction).Inc()
	t.bytes.WithLabelValues(kind, direction).Add(float64(bytes))
}
