package bench

import (
	"context"
	"time"

	"github.com/pathtally/pathtally/internal/devcluster"
	"github.com/pathtally/pathtally/internal/enginemodel"
	"github.com/pathtally/pathtally/internal/loadgen"
)

// realNodes is what three nodes over real sockets cost, for comparison with
// the hollow ones.
type realNodes struct {
	KBPerNode  float64 `json:"peer_kb_per_node_second"`
	CPUPercent float64 `json:"idle_cpu_percent_of_a_core_per_node"`
	Answered   int64   `json:"requests_answered"`
}

const (
	realRate      = 20
	realMaxTokens = 16
	realDeadline  = 5 * time.Second
	realCount     = 3
)

// measureReal runs three real nodes: first idle, for the cost of control, then
// with callers, to see that they serve.
func measureReal(span time.Duration) (*realNodes, error) {
	cluster, err := devcluster.Start(devcluster.Config{Folder: "examples/kotuku", Parameters: enginemodel.DefaultParameters(), Lengths: devcluster.DefaultLengths()})
	if err != nil {
		return nil, err
	}
	defer cluster.Close()
	time.Sleep(span / 2)
	bytes, cpu := peerBytes(cluster), processSeconds()
	time.Sleep(span)
	measured := &realNodes{
		KBPerNode:  float64(peerBytes(cluster)-bytes) / kilobyte / span.Seconds() / realCount,
		CPUPercent: 100 * (processSeconds() - cpu) / span.Seconds() / realCount,
	}
	ctx, cancel := context.WithTimeout(context.Background(), span/2)
	defer cancel()
	load := loadgen.New(loadgen.Config{Nodes: cluster.Addresses, Seed: 1, Streams: []loadgen.Stream{{
		Group: "booking-app", Model: "booking-service", PerSecond: realRate, MaxTokens: realMaxTokens, Deadline: realDeadline, UnsafeShare: 0.1,
	}}})
	if err := load.Run(ctx); err != nil {
		return nil, err
	}
	measured.Answered = load.Counts().Answered
	return measured, nil
}

func peerBytes(cluster *devcluster.Cluster) int64 {
	total := int64(0)
	for _, node := range cluster.Nodes {
		counts := node.PeerCounts()
		total += counts.BytesSent.Load() + counts.BytesReceived.Load()
	}
	return total
}
