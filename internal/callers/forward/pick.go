package forward

import (
	"math/rand/v2"
	"time"

	"github.com/pathtally/pathtally/internal/callers/dispatch"
	"github.com/pathtally/pathtally/internal/replicas/directory"
	"github.com/pathtally/pathtally/internal/replicas/routing"
)

// pick selects a replica for the next attempt, skipping those already tried. It tries the
// targets of the route in order, starting at index firstTarget. Package routing filters
// and scores the replicas of a target; if no target has an eligible replica, the error is
// the one that it returned for the last target.
func (f *Forwarder) pick(route *directory.Route, firstTarget int, tried []string, call *dispatch.Call) (*routing.Endpoint, error) {
	view := f.config.Directory.View()
	query := f.query(view, route, tried, call)
	var lastErr error = routing.ErrNoEngineDeclared
	for i := range route.Targets {
		plan := view.Plans[route.Targets[(firstTarget+i)%len(route.Targets)].Service]
		if plan == nil {
			continue
		}
		endpoint, err := plan.Pick(query)
		if err == nil {
			return endpoint, nil
		}
		lastErr = err
	}
	return nil, lastErr
}

// eligible returns the replicas of a service that may get the next attempt, best first.
func (f *Forwarder) eligible(route *directory.Route, service string, tried []string, call *dispatch.Call) []*routing.Endpoint {
	view := f.config.Directory.View()
	if plan := view.Plans[service]; plan != nil {
		return plan.Eligible(f.query(view, route, tried, call))
	}
	return nil
}

// query returns the properties of the next attempt that a pick depends on.
func (f *Forwarder) query(view *directory.View, route *directory.Route, tried []string, call *dispatch.Call) *routing.Query {
	query := &routing.Query{
		Zone: f.config.Zone, Tried: tried, Random: rand.Uint64(), Objective: responseObjective(route),
		AllowedRegions: view.Configuration.AllowedRegions(route, call.Tenant),
	}
	if route.Sticky && f.config.PromptHash != nil {
		query.PrefixHash = f.config.PromptHash(call.Header)
	}
	return query
}

// responseObjective returns the route's latency objective for a complete response. It
// returns 0 for streams, whose objective applies to the first event.
func responseObjective(route *directory.Route) time.Duration {
	if route.Kind == directory.RouteStream {
		return 0
	}
	return route.Objective
}

// checkAllowedRegions refuses a call if the route has no replica in the regions where the call
// may be served.
func (f *Forwarder) checkAllowedRegions(route *directory.Route, call *dispatch.Call) error {
	view := f.config.Directory.View()
	if view.HasReplica(route, view.Configuration.AllowedRegions(route, call.Tenant)) {
		return nil
	}
	f.config.Metrics.outsideAllowedRegions.Inc()
	return newRefusal(ReasonOutsideRegions, ErrNoReplicaInAllowedRegions, nil)
}
