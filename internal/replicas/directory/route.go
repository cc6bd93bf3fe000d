package directory

import "time"

// Target is a service that receives a share of a route's requests.
type Target struct {
	Service string
	// Weight is the share relative to the weights of the route's other targets.
	Weight int
}

// Route maps the requests for a host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   RouteKind
	// Timeout bounds the time that a request may take, 0 for no bound.
	Timeout time.Duration
	// Objective is the desired response time.
	Objective time.Duration
	Targets   []Target
	// Attempts is the maximum number of replicas to which one request may be sent.
	Attempts int
	// Priority is the priority of the requests. 0 is the highest.
	Priority int
	// Public is set if requests need no key.
	Public bool
	// Sticky is set if requests carry a prompt whose prefix replicas cache.
	Sticky bool
	// Resumable is set if streams may be continued at another replica.
	Resumable bool
	// SingleVersion is set if a result must come from a single weight version.
	SingleVersion bool
	// CompletionObjective is the desired time to complete a batch job.
	CompletionObjective time.Duration
	// Retention is the time after which the items of a batch job may be abandoned.
	Retention time.Duration
	// AllowedRegions are the allowed regions of the requests, empty for all regions.
	AllowedRegions []string
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
