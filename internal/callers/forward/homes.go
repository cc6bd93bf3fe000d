package forward

import (
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/pathtally/pathtally/internal/callers/dispatch"
	"github.com/pathtally/pathtally/internal/replicas/directory"
)

// ErrNoHome means that no replica of a route is in a region in which the request may
// be served.
var ErrNoHome = merry.Sentinel("the services of the route have no replica in the allowed regions")

// homesWait is when to come back with such a request: a replica that is started or a
// configuration that is changed is known at every node some seconds later.
const homesWait = 2 * time.Second

// checkHomes refuses a call that no replica may serve, whatever becomes of those that
// there are.
func (f *Forwarder) checkHomes(route *directory.Route, call *dispatch.Call) error {
	view := f.config.Directory.View()
	if view.HasReplica(route, view.Configuration.HomesOf(route, call.Tenant)) {
		return nil
	}
	f.config.Metrics.withoutHome.Inc()
	return &RefusedError{Reason: ReasonOutsideHome, RetryAfter: homesWait, Cause: ErrNoHome}
}
