package weightorders

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/duties/lease"
	"github.com/pathtally/pathtally/internal/replicas/directory"
	"github.com/pathtally/pathtally/internal/wire"
)

// Config holds the dependencies of a Coordinator.
type Config struct {
	Elector   *lease.Elector
	Directory *directory.Table
	Replicas  ReplicaClient
	Logger    klog.Logger
	Registry  prometheus.Registerer
	// RunningItems returns the number of batch items that run at a replica.
	RunningItems func(replica string) int
	// Tolerance returns the number of versions by which a model's weights may lag behind
	// the newest version for its batch jobs.
	Tolerance func(model string) int64
	// Demand returns the demand for each model, estimated from its recent jobs.
	Demand func() Demand
	// UsualIntervals returns the known usual time between events of a run by replica, without
	// short disturbances. If it is nil, all replicas are treated alike.
	UsualIntervals func() map[string]time.Duration
	// Waiting returns the number of batch items that wait for a replica, by model. If it is
	// nil, no model is treated as having any.
	Waiting func() map[string]int
	// OnChange is called when a replica begins to load a version, and with the version that
	// it is known to have when the load has ended.
	OnChange func(change wire.ReplicaVersion)
	// Announce sends a heartbeat with the announced versions soon.
	Announce func()
}
