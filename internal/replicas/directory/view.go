package directory

import (
	"time"

	"github.com/pathtally/pathtally/internal/replicas/routing"
)

// View is the directory at one moment. It is immutable.
type View struct {
	Configuration *Configuration
	// ConfigurationRevision is the store's revision of the configuration.
	ConfigurationRevision uint64
	// Replicas are the current ones by id.
	Replicas map[string]*Replica
	// Endpoints are the current replicas by id, as the router sees them.
	Endpoints map[string]*routing.Endpoint
	// Plans hold the endpoints of each service.
	Plans map[string]*routing.Plan
	// Named gives the newest version that a trainer has named of each model.
	Named map[string]int64
	// Evacuated gives the zones whose replicas are to get nothing, each with when this
	// node learned it.
	Evacuated map[string]time.Time
	// EvacuationEnded gives the zones whose evacuation has ended, each with when this
	// node learned it. Their replicas may be cold. Old ends are forgotten.
	EvacuationEnded map[string]time.Time
	// EvacuationsAwaited is true until the evacuations have been listed once, where
	// they are followed: until then every zone counts as evacuated.
	EvacuationsAwaited bool
	// ReplicasKnown is false until the replicas have been listed once.
	ReplicasKnown bool
	// Changed is when the view was made.
	Changed time.Time
}
