package directory

import (
	"maps"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/replicas/routing"
)

// evacuationEndRetention is how long the end of an evacuation is remembered. It must be longer
// than any warm-up time.
const evacuationEndRetention = 10 * time.Minute

// AssumeAllEvacuated treats every zone as evacuated until the evacuations have been listed
// once. It must be called before the replicas are listed.
func (t *Table) AssumeAllEvacuated() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	next := *t.view.Load()
	next.EvacuationsUnknown = true
	t.publishEvacuations(&next)
}

// SetEvacuations replaces the list of evacuated zones.
func (t *Table) SetEvacuations(zones []string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	current := t.view.Load()
	var changes []EvacuationChange
	for zone := range current.Evacuated {
		if !slices.Contains(zones, zone) {
			changes = append(changes, EvacuationChange{Zone: zone, Ended: true})
		}
	}
	for _, zone := range zones {
		changes = append(changes, EvacuationChange{Zone: zone})
	}
	if len(changes) == 0 && !current.EvacuationsUnknown {
		return
	}
	next := *current
	next.EvacuationsUnknown = false
	t.changeEvacuations(&next, changes)
}

// ApplyEvacuations applies a batch of changes, oldest first.
func (t *Table) ApplyEvacuations(changes []EvacuationChange) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	next := *t.view.Load()
	t.changeEvacuations(&next, changes)
}

// changeEvacuations applies changes to a view and publishes it.
func (t *Table) changeEvacuations(next *View, changes []EvacuationChange) {
	next.Evacuated = cloneTimes(next.Evacuated)
	next.EvacuationEnded = cloneTimes(next.EvacuationEnded)
	maps.DeleteFunc(next.EvacuationEnded, func(_ string, at time.Time) bool { return t.clock.Since(at) > evacuationEndRetention })
	for _, change := range changes {
		if change.Ended {
			endEvacuation(next, change.Zone, t.clock(), t.logger)
		} else {
			beginEvacuation(next, change.Zone, t.clock(), t.logger)
		}
	}
	t.publishEvacuations(next)
}

// beginEvacuation records that a zone is evacuated, unless it already is.
func beginEvacuation(next *View, zone string, now time.Time, logger klog.Logger) {
	if _, known := next.Evacuated[zone]; known {
		return
	}
	next.Evacuated[zone] = now
	delete(next.EvacuationEnded, zone)
	replicas := next.EndpointsIn(zone)
	if len(replicas) == 0 && next.ReplicasKnown {
		logger.Info("evacuated zone has no replicas", "evacuated", zone)
		return
	}
	logger.Info("zone evacuation started", "evacuated", zone, "replicas", len(replicas), "inFlight", next.InFlightIn(zone))
}

// endEvacuation records that a zone is no longer evacuated.
func endEvacuation(next *View, zone string, now time.Time, logger klog.Logger) {
	since, known := next.Evacuated[zone]
	if !known {
		return
	}
	delete(next.Evacuated, zone)
	next.EvacuationEnded[zone] = now
	logger.Info("zone evacuation ended", "evacuated", zone, "replicas", len(next.EndpointsIn(zone)), "lastedMs", now.Sub(since).Milliseconds(),
		"inFlight", next.InFlightIn(zone))
}

// publishEvacuations publishes a view with changed evacuations.
func (t *Table) publishEvacuations(next *View) {
	all := allIDs(next)
	markEvacuated(next, all)
	t.publish(next, nil)
	unmarkEvacuated(next, all)
}

// markEvacuated marks the touched endpoints in evacuated zones as evacuated. It must be called
// before the view is published.
func markEvacuated(view *View, touched map[string]bool) {
	for id := range touched {
		if endpoint := view.Endpoints[id]; endpoint != nil && view.IsEvacuated(endpoint.Zone) {
			endpoint.State.SetEvacuated(true)
		}
	}
}

// unmarkEvacuated unmarks the touched endpoints in other zones. It must be called after the view
// is published, because replicas may be cold when an evacuation ends and the publication sets
// their slow-start limits.
func unmarkEvacuated(view *View, touched map[string]bool) {
	for id := range touched {
		if endpoint := view.Endpoints[id]; endpoint != nil && !view.IsEvacuated(endpoint.Zone) {
			endpoint.State.SetEvacuated(false)
		}
	}
}

// allIDs returns the ids of all endpoints of a view.
func allIDs(view *View) map[string]bool {
	ids := make(map[string]bool, len(view.Endpoints))
	for id := range view.Endpoints {
		ids[id] = true
	}
	return ids
}

// EndpointsIn returns the replicas in a zone in no particular order.
func (v *View) EndpointsIn(zone string) []*routing.Endpoint {
	var found []*routing.Endpoint
	for _, endpoint := range v.Endpoints {
		if endpoint.Zone == zone {
			found = append(found, endpoint)
		}
	}
	return found
}

// InFlightIn returns the number of this node's requests in flight at the replicas in a zone.
func (v *View) InFlightIn(zone string) int64 {
	count := int64(0)
	for _, endpoint := range v.EndpointsIn(zone) {
		count += endpoint.State.InFlight.Load()
	}
	return count
}

func cloneTimes(times map[string]time.Time) map[string]time.Time {
	clone := make(map[string]time.Time, len(times)+1)
	maps.Copy(clone, times)
	return clone
}
