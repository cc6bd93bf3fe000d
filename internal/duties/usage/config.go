package usage

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/duties/lease"
	"github.com/pathtally/pathtally/internal/environment"
	"github.com/pathtally/pathtally/internal/store/objectstore"
)

// Config holds the parameters and dependencies of a Service.
type Config struct {
	Node        string
	Incarnation uint64
	// Window is the length of a window, and ReportDeadline the time after its end within
	// which its report is due.
	Window         time.Duration
	ReportDeadline time.Duration
	Elector        *lease.Elector
	Store          objectstore.Store
	Platform       Platform
	Peers          environment.Peers
	Logger         klog.Logger
	Registry       prometheus.Registerer
	// Nodes returns all nodes, and Peer the address of a node and the incarnation of the
	// process that sent its last heartbeat.
	Nodes func() []string
	Peer  func(node string) (address string, incarnation uint64, known bool)
	// HeartbeatSoon sends a heartbeat soon, which contains the progress of the reports.
	HeartbeatSoon func()
}
