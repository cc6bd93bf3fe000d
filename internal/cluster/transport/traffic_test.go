package transport

import (
	"maps"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/pathtally/pathtally/internal/wire"
)

func TestTrafficCountsByKindAndDirection(t *testing.T) {
	registry := prometheus.NewRegistry()
	traffic := NewTraffic(registry)
	traffic.count(&wire.Ping{}, directionOut, 10)
	traffic.count(&wire.Ping{}, directionOut, 12)
	traffic.count(&wire.NodeBeat{}, directionIn, 7)
	var none *Traffic
	none.count(&wire.Ping{}, directionOut, 10)
	gathered, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	counted := map[string]float64{}
	for _, family := range gathered {
		for _, metric := range family.GetMetric() {
			// Labels are sorted by name: direction, kind.
			labels := metric.GetLabel()
			counted[family.GetName()+" "+labels[1].GetValue()+" "+labels[0].GetValue()] = metric.GetCounter().GetValue()
		}
	}
	want := map[string]float64{
		"pathtally_peer_messages_total Ping out": 2, "pathtally_peer_bytes_total Ping out": 22,
		"pathtally_peer_messages_total NodeBeat in": 1, "pathtally_peer_bytes_total NodeBeat in": 7,
	}
	if !maps.Equal(counted, want) {
		t.Errorf("counted %v, want %v", counted, want)
	}
}
