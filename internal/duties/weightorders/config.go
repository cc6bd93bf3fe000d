package weightorders

import (
	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/duties/lease"
	"github.com/pathtally/pathtally/internal/replicas/directory"
	"github.com/pathtally/pathtally/internal/wire"
)

// Config is what a Coordinator needs.
type Config struct {
	Keeper    *lease.Keeper
	Directory *directory.Table
	Replicas  Replicas
	Logger    klog.Logger
	Registry  prometheus.Registerer
	// RunningItems returns how many items of batch jobs run at a replica.
	RunningItems func(replica string) int
	// Tolerance returns by how many versions the batch jobs of a model let the
	// weights be behind.
	Tolerance func(model string) int64
	// Demand returns the work that the recent jobs of each model brought.
	Demand func() Demand
	// OnChange is called with each change of a replica's version.
	OnChange func(change wire.ReplicaVersion)
	// Announce sends the peers concerned a heartbeat now.
	Announce func()
}
