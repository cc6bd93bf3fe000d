package routing

import (
	"time"

	"github.com/pathtally/pathtally/internal/replicas/homes"
)

// Query is what a pick needs to know of a request.
type Query struct {
	// Zone is that of the picking node.
	Zone string
	// PrefixHash is the hash of the prompt's beginning, 0 for no prompt.
	PrefixHash uint64
	// MinVersion is the least weight version allowed, 0 for any.
	MinVersion int64
	// Avoid names an endpoint that has just failed the request.
	Avoid string
	// Tried names the endpoints that have been sent the request before.
	Tried []string
	// Objective is the time within which an answer is wanted, 0 for none.
	Objective time.Duration
	// Random is a random number of the caller.
	Random uint64
	// Rollout is set for samples and items, not for live requests.
	Rollout bool
	// Waiting is set for items that wait for a replica, not for those that run.
	Waiting bool
	// MaxLoadShare bounds the load of an endpoint as a multiple of its slots, 0 for no
	// bound.
	MaxLoadShare float64
	// Homes are the regions in which the request may be served.
	Homes homes.Set
}
