package sim

import (
	"fmt"
	"strings"
	"time"

	"github.com/pathtally/pathtally/internal/wire"
)

// sampleEvery is how many messages of a type pass between two that are encoded
// to measure their size and the cost of the codec.
const sampleEvery = 16

// Traffic is a number of messages and their bytes.
type Traffic struct {
	Messages float64 `json:"messages"`
	Bytes    float64 `json:"bytes"`
}

func (t *Traffic) add(messages, bytes float64) {
	t.Messages += messages
	t.Bytes += bytes
}

// Meter counts the control messages of a world. Sizes and codec times come
// from one message in sixteen of each type, which is encoded and decoded.
type Meter struct {
	ByNode map[string]*Traffic
	ByType map[string]*Traffic
	// CodecSeconds is the processor time that encoding and decoding all
	// messages would have taken.
	CodecSeconds float64
	seen         map[string]int
	samples      map[string]float64
	size         map[string]float64
	cost         map[string]float64
}

// NewMeter counts the messages of a network from now on.
func NewMeter(network *Network) *Meter {
	meter := &Meter{}
	meter.Reset()
	network.Measure = meter.measure
	return meter
}

// Reset sets all counts to zero and forgets the sizes seen.
func (m *Meter) Reset() {
	m.seen, m.samples = map[string]int{}, map[string]float64{}
	m.size, m.cost = map[string]float64{}, map[string]float64{}
	m.ByNode, m.ByType, m.CodecSeconds = map[string]*Traffic{}, map[string]*Traffic{}, 0
}

func typeName(message wire.Message) string {
	return strings.TrimPrefix(fmt.Sprintf("%T", message), "*wire.")
}

func (m *Meter) measure(from, to string, message wire.Message) {
	name := typeName(message)
	m.seen[name]++
	if m.seen[name]%sampleEvery == 1 {
		begun := time.Now()
		encoded, err := wire.Encode(wire.Frame{Correlation: 1, Message: message})
		if err == nil {
			_, err = wire.Decode(encoded[4:])
		}
		if err == nil {
			m.samples[name]++
			m.size[name] += (float64(len(encoded)) - m.size[name]) / m.samples[name]
			m.cost[name] += (time.Since(begun).Seconds() - m.cost[name]) / m.samples[name]
		}
	}
	size := m.size[name]
	m.CodecSeconds += m.cost[name]
	traffic(m.ByNode, from).add(1, size)
	traffic(m.ByNode, to).add(1, size)
	traffic(m.ByType, name).add(1, size)
}

func traffic(m map[string]*Traffic, key string) *Traffic {
	if m[key] == nil {
		m[key] = &Traffic{}
	}
	return m[key]
}

// Busiest returns the bytes of the node with the most, sent and received
// together, with some more for each engine poll that it made.
func (m *Meter) Busiest(polls map[string]int, bytesPerPoll float64) float64 {
	most := 0.0
	for _, node := range sortedKeys(m.ByNode) {
		most = max(most, m.ByNode[node].Bytes+bytesPerPoll*float64(polls[node]))
	}
	return most
}

// Total returns the traffic of all nodes, each message counted once.
func (m *Meter) Total() Traffic {
	var total Traffic
	for _, name := range sortedKeys(m.ByType) {
		total.add(m.ByType[name].Messages, m.ByType[name].Bytes)
	}
	return total
}
