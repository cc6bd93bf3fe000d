package directory

import (
	"time"

	"github.com/pathtally/pathtally/internal/routing"
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
	// EvacuationEnded gives when this node learnt that a zone's evacuation has ended.
	EvacuationEnded map[string]time.Time
	// ReplicasKnown is false until the replicas have been listed once.
	ReplicasKnown bool
	// Changed is when the view was made.
	Changed time.Time
}
