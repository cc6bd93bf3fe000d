package watchcache

import (
	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/clock"
	"github.com/pathtally/pathtally/internal/environment"
	"github.com/pathtally/pathtally/internal/store/objectstore"
)

// Node is one that may be followed.
type Node struct {
	Name    string
	Address string
	Zone    string
	// Capacity is how many thousandths of a core it has, 0 for unknown.
	Capacity uint32
}

// Config is what a Source needs.
type Config struct {
	// Self is this node.
	Self Node
	// Regions gives the region of each zone; empty where none is known.
	Regions map[string]string
	Store   objectstore.Store
	Peers   environment.Peers
	// Nodes lists the other nodes known, and Joined tells whether the list has
	// been read, or could not be.
	Nodes  func() []Node
	Joined func() bool
	// ProbeKind and ProbeName name an object that is asked for to see whether
	// the store answers; it need not exist.
	ProbeKind string
	ProbeName string
	// Clock tells how old the copies are. It counts suspensions of the machine.
	Clock    clock.Clock
	Logger   klog.Logger
	Registry prometheus.Registerer
}
