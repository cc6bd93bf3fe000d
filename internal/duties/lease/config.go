package lease

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/clock"
)

// Config holds the dependencies of an Elector.
type Config struct {
	Node  string
	Lease *Lease
	// Clock is the clock that Lease uses.
	Clock  clock.Clock
	Logger klog.Logger
	// Nodes lists the nodes that may hold the lease.
	Nodes func() []string
	// SinceHeartbeat returns the time since the last heartbeat from a node.
	SinceHeartbeat func(node string) time.Duration
	// Announce sends this node's newest observation of the lease to the given nodes, or to
	// all nodes if the deployment is small.
	Announce func(nodes []string)
}
