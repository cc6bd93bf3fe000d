package routing

import (
	"time"

	"github.com/pathtally/pathtally/internal/replicas/residency"
)

// Query holds the properties of a request that a pick depends on.
type Query struct {
	// Zone is the zone of this node.
	Zone string
	// PrefixHash is the hash of the prompt's beginning, 0 for no prompt.
	PrefixHash uint64
	// MinVersion is the minimum weight version, 0 for any.
	MinVersion int64
	// Avoid names the endpoint at which the request has just failed.
	Avoid string
	// Tried names the endpoints to which the request was already sent.
	Tried []string
	// Objective is the desired response time, 0 for none.
	Objective time.Duration
	// Random is a random number supplied by the caller.
	Random uint64
	// Rollout is set for samples and items, as opposed to live requests.
	Rollout bool
	// Waiting is set for items that wait for a replica, as opposed to running items.
	Waiting bool
	// MaxLoadShare limits the load of the endpoint, as a multiple of its slots. 0 is no
	// limit.
	MaxLoadShare float64
	// AllowedRegions are the allowed regions of the request.
	AllowedRegions residency.Set
}
