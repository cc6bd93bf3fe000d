package autoscale

import (
	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/duties/lease"
	"github.com/pathtally/pathtally/internal/replicas/directory"
	"github.com/pathtally/pathtally/internal/store/objectstore"
)

// Config holds the parameters and dependencies of a Service.
type Config struct {
	Policy    Policy
	Elector   *lease.Elector
	Store     objectstore.Store
	Platform  Platform
	Directory *directory.Table
	Logger    klog.Logger
	Registry  prometheus.Registerer
	// Work returns the number of items that run at a service's replicas, and the number of
	// open items, which run or wait, on all nodes.
	Work func(service string) (running, open int)
}
