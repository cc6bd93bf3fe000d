package directory

import (
	"time"

	"github.com/pathtally/pathtally/internal/replicas/routing"
)

// View is a snapshot of the directory. It is immutable.
type View struct {
	Configuration *Configuration
	// ConfigurationRevision is the revision of the configuration object in the store.
	ConfigurationRevision uint64
	// Replicas holds the usable replicas by id.
	Replicas map[string]*Replica
	// Endpoints holds the endpoints of Replicas by id.
	Endpoints map[string]*routing.Endpoint
	// Plans holds the routing plan of each service.
	Plans map[string]*routing.Plan
	// NamedVersions is the newest weight version that a trainer has named, by model.
	NamedVersions map[string]int64
	// Evacuated holds the evacuated zones with the times at which this node observed it.
	Evacuated map[string]time.Time
	// EvacuationEnded holds the zones whose evacuation has ended, with the times at which
	// this node observed it. Their replicas may be cold. Entries expire after
	// evacuationEndRetention.
	EvacuationEnded map[string]time.Time
	// EvacuationsUnknown is set until the evacuations have been listed once, if the node
	// watches them. Until then every zone counts as evacuated.
	EvacuationsUnknown bool
	// ReplicasKnown is set once the replicas have been listed.
	ReplicasKnown bool
	// Changed is when the view was published.
	Changed time.Time
}
