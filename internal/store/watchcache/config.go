package watchcache

import (
	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/clock"
	"github.com/pathtally/pathtally/internal/environment"
	"github.com/pathtally/pathtally/internal/store/objectstore"
)

// Config holds the settings and dependencies of a Source.
type Config struct {
	Self Node
	// Regions maps each zone to its region; empty if regions are not configured.
	Regions map[string]string
	Store   objectstore.Store
	Peers   environment.Peers
	// Nodes lists the other known nodes. JoinAttempted reports whether that list has been
	// read, or reading it has failed at least once.
	Nodes         func() []Node
	JoinAttempted func() bool
	// ProbeKind and ProbeName name the object that is read to check whether the store is
	// available. The object need not exist.
	ProbeKind string
	ProbeName string
	// Clock measures the age of the caches. It must advance while the machine is suspended.
	Clock    clock.Clock
	Logger   klog.Logger
	Registry prometheus.Registerer
}
