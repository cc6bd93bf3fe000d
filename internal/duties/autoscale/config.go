package autoscale

import (
	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/duties/lease"
	"github.com/pathtally/pathtally/internal/replicas/directory"
	"github.com/pathtally/pathtally/internal/store/objectstore"
)

// Config is what a Service needs.
type Config struct {
	Policy    Policy
	Keeper    *lease.Keeper
	Store     objectstore.Store
	Platform  Platform
	Directory *directory.Table
	Logger    klog.Logger
	Registry  prometheus.Registerer
	// Work returns how many items run at a service's replicas, and how many run or wait,
	// on all nodes.
	Work func(service string) (running, open int)
}
