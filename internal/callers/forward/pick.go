package forward

import (
	"math/rand/v2"
	"time"

	"github.com/pathtally/pathtally/internal/callers/dispatch"
	"github.com/pathtally/pathtally/internal/replicas/directory"
	"github.com/pathtally/pathtally/internal/replicas/routing"
)

// pick returns a replica for the next attempt, among those not tried before. The
// route's targets are tried in order, beginning with the one at an index. Filters,
// scorers and the order of replicas are those of package routing; its errors are
// returned.
func (f *Forwarder) pick(route *directory.Route, firstTarget int, tried []string, call *dispatch.Call) (*routing.Endpoint, error) {
	view := f.config.Directory.View()
	query := &routing.Query{
		Zone: f.config.Zone, Tried: tried, Random: rand.Uint64(), Objective: answerObjective(route),
		AllowedRegions: view.Configuration.AllowedRegions(route, call.Tenant),
	}
	if route.Sticky && f.config.Prompt != nil {
		query.PrefixHash = f.config.Prompt(call.Header)
	}
	var failure error = routing.ErrNoEngineDeclared
	for i := range route.Targets {
		plan := view.Plans[route.Targets[(firstTarget+i)%len(route.Targets)].Service]
		if plan == nil {
			continue
		}
		endpoint, err := plan.Pick(query)
		if err == nil {
			return endpoint, nil
		}
		failure = err
	}
	return nil, failure
}

// answerObjective returns the time within which the route wants the whole answer, 0
// for streams: their objective is about the first event.
func answerObjective(route *directory.Route) time.Duration {
	if route.Kind == directory.RouteStream {
		return 0
	}
	return route.Objective
}

// checkHomes refuses a call whose route has no replica in the regions where it may be
// served, whatever the state of its replicas elsewhere.
func (f *Forwarder) checkHomes(route *directory.Route, call *dispatch.Call) error {
	view := f.config.Directory.View()
	if view.HasReplica(route, view.Configuration.AllowedRegions(route, call.Tenant)) {
		return nil
	}
	f.config.Metrics.withoutHome.Inc()
	return newRefusal(ReasonOutsideHome, ErrNoHome, nil)
}
