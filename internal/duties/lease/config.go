package lease

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/clock"
)

// Config is what a Keeper needs.
type Config struct {
	Node  string
	Lease *Lease
	// Clock is that of the lease.
	Clock  clock.Clock
	Logger klog.Logger
	// Nodes lists the nodes that may hold the lease.
	Nodes func() []string
	// Silence returns the time since the last heartbeat of a node.
	Silence func(node string) time.Duration
	// Tell sends what this node knows of the lease to the nodes named, or to all where
	// they are few.
	Announce func(nodes []string)
}
