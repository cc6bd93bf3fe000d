package directory

// RouteKind says what may be repeated on a route.
type RouteKind string

// The kinds of routes.
const (
	// RouteSafe requests may run more than once.
	RouteSafe RouteKind = "safe"
	// RouteUnsafe requests run at most once.
	RouteUnsafe RouteKind = "unsafe"
	// RouteStream answers are series of events.
	RouteStream RouteKind = "stream"
	// RouteBatch takes batch jobs.
	RouteBatch RouteKind = "batch"
)
