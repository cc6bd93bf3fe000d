package usage

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/duties/lease"
	"github.com/pathtally/pathtally/internal/environment"
	"github.com/pathtally/pathtally/internal/store/objectstore"
)

// Config is what a Service needs.
type Config struct {
	Node        string
	Incarnation uint64
	// Window is the length of the windows, and Late how long after its end a
	// window's report is due.
	Window   time.Duration
	Late     time.Duration
	Keeper   *lease.Keeper
	Store    objectstore.Store
	Platform Platform
	Peers    environment.Peers
	Logger   klog.Logger
	Registry prometheus.Registerer
	// Nodes lists all nodes, and Peer returns where one is and which of its processes
	// sent the last heartbeat.
	Nodes func() []string
	Peer  func(node string) (address string, incarnation uint64, known bool)
	// HeartbeatSoon sends the peers that follow the reports a heartbeat now.
	HeartbeatSoon func()
}
