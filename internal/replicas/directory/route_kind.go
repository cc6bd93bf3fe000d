package directory

// RouteKind is the kind of requests on a route, which determines whether they may be
// repeated.
type RouteKind string

// The kinds of routes.
const (
	// RouteSafe is for requests that may run more than once.
	RouteSafe RouteKind = "safe"
	// RouteUnsafe is for requests that run at most once.
	RouteUnsafe RouteKind = "unsafe"
	// RouteStream is for requests whose responses are event streams.
	RouteStream RouteKind = "stream"
	// RouteBatch is for batch jobs.
	RouteBatch RouteKind = "batch"
)
