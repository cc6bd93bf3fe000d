package directory

import "time"

// Target is a service that takes a part of a route's requests.
type Target struct {
	Service string
	// Weight is the part in proportion to the other targets' weights.
	Weight int
}

// Route sends the requests of a host under a path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   RouteKind
	// Timeout is the longest time a request may be held; 0 for no bound.
	Timeout time.Duration
	// Objective is the time within which an answer is wanted.
	Objective time.Duration
	Targets   []Target
	// Attempts is the largest number of replicas one request may be sent to.
	Attempts int
	// Priority is the rank of the requests; 0 is the most urgent.
	Priority int
	// Public routes need no key.
	Public bool
	// Sticky requests carry a prompt that replicas keep the beginning of.
	Sticky bool
	// Resumable streams may be continued at another replica.
	Resumable bool
	// SingleVersion results may come from one weight version only.
	SingleVersion bool
	// CompletionObjective is the time for the whole of a batch job, and
	// Retention the time after which its items may be given up.
	CompletionObjective time.Duration
	Retention           time.Duration
	// Homes are the only regions in which the requests may be served; empty for all.
	Homes []string
}

// Serves reports whether a service is one of the route's targets.
func (r *Route) Serves(service string) bool {
	for _, target := range r.Targets {
		if target.Service == service {
			return true
		}
	}
	return false
}
