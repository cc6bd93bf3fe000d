package storerelay

import (
	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/environment"
	"github.com/pathtally/pathtally/internal/store/objectstore"
)

// Config holds the dependencies of a Relay.
type Config struct {
	// Direct is this node's direct connection to the store.
	Direct objectstore.Store
	Peers  environment.Peers
	// PeerWithStoreAccess returns the address of a peer to which the store is available, if
	// one is known.
	PeerWithStoreAccess func() (address string, known bool)
	// LargeCallHelpers returns the addresses of further nodes that may be sent large calls,
	// in order of preference; nil for none.
	LargeCallHelpers func() []string
	// Region returns the region of the node at an address, "" if it is not known.
	Region   func(address string) string
	Logger   klog.Logger
	Registry prometheus.Registerer
}
