package directory

import (
	"maps"

	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/replicas/routing"
)

// publishReplicas publishes a view with a replaced listing. It reuses unchanged endpoints and
// plans, since there may be thousands of replicas and most changes concern weight versions,
// which plans do not depend on.
func (t *Table) publishReplicas(next *View) {
	current := t.view.Load()
	touched := make(map[string]bool, len(next.Replicas))
	for id := range next.Replicas {
		touched[id] = true
	}
	for id := range current.Endpoints {
		touched[id] = true
	}
	t.publishTouched(next, touched)
}

// publishTouched publishes a view in which the touched replicas may have been added, changed
// or removed. The cost is proportional to their number, plus a copy of the listing.
func (t *Table) publishTouched(next *View, touched map[string]bool) {
	current := t.view.Load()
	t.entries.evictExpired(current.Replicas)
	t.unreadable.trim()
	next.Endpoints = maps.Clone(current.Endpoints)
	if next.Endpoints == nil {
		next.Endpoints = map[string]*routing.Endpoint{}
	}
	revisions := planRevisions{}
	var added []*Replica
	for id := range touched {
		endpoint, replica := current.Endpoints[id], next.Replicas[id]
		switch {
		case replica == nil && endpoint == nil:
		case replica == nil:
			revisions.remove(endpoint)
			delete(next.Endpoints, id)
			delete(t.states, id)
		case endpoint == nil:
			added = append(added, replica)
			next.Endpoints[id] = t.newEndpoint(replica)
			revisions.add(next.Endpoints[id])
		case !sameEndpoint(endpoint, replica):
			revisions.remove(endpoint)
			next.Endpoints[id] = t.newEndpoint(replica)
			revisions.add(next.Endpoints[id])
		}
	}
	logAdded(added, t.logger)
	next.Plans = revisions.apply(t.locality, current.Plans)
	markEvacuated(next, touched)
	t.publish(next, touched)
	unmarkEvacuated(next, touched)
}

// maxLoggedReplicas is how many replicas of a batch are named in the log. A line for each
// replica on each node would flood the log when a large deployment starts.
const maxLoggedReplicas = 3

// logAdded logs a batch of added replicas in one line.
func logAdded(added []*Replica, logger klog.Logger) {
	if len(added) == 0 {
		return
	}
	described := make([]string, 0, maxLoggedReplicas)
	for _, replica := range added[:min(maxLoggedReplicas, len(added))] {
		described = append(described, replica.ID+" "+replica.Service+" "+replica.Address+" "+replica.Zone)
	}
	logger.Info("replicas added", "replicas", len(added), "first", described)
}

// sameEndpoint reports whether an endpoint matches a replica's entry.
func sameEndpoint(endpoint *routing.Endpoint, replica *Replica) bool {
	return endpoint.Address == replica.Address && endpoint.Zone == replica.Zone && endpoint.Model == replica.Service &&
		endpoint.Slots == max(1, replica.Slots)
}

// newEndpoint returns the endpoint of a replica. It reuses the state of an earlier endpoint
// with the same id.
func (t *Table) newEndpoint(replica *Replica) *routing.Endpoint {
	state := t.states[replica.ID]
	if state == nil {
		state = routing.NewEndpointState()
		state.SetReport(routing.EndpointReport{})
		t.states[replica.ID] = state
	}
	endpoint := routing.NewReplicaEndpoint(replica.ID, replica.Address, replica.Zone, t.regions[replica.Zone], replica.Service, replica.Slots, state)
	endpoint.Instance = replica.InstanceName()
	return endpoint
}

// planRevisions are the endpoints to remove from and add to plans, by service.
type planRevisions map[string]*planRevision

type planRevision struct {
	removed map[*routing.Endpoint]bool
	added   []*routing.Endpoint
}

func (r planRevisions) get(service string) *planRevision {
	if r[service] == nil {
		r[service] = &planRevision{removed: map[*routing.Endpoint]bool{}}
	}
	return r[service]
}

func (r planRevisions) remove(endpoint *routing.Endpoint) {
	r.get(endpoint.Model).removed[endpoint] = true
}

func (r planRevisions) add(endpoint *routing.Endpoint) {
	revision := r.get(endpoint.Model)
	revision.added = append(revision.added, endpoint)
}

// apply returns the plans of all services. Plans without a revision are reused.
func (r planRevisions) apply(locality routing.Locality, current map[string]*routing.Plan) map[string]*routing.Plan {
	if len(r) == 0 {
		return current
	}
	plans := maps.Clone(current)
	for service, revision := range r {
		if next := revision.apply(locality, current[service]); next != nil {
			plans[service] = next
		} else {
			delete(plans, service)
		}
	}
	return plans
}

// apply returns the revised plan, or nil if no endpoint remains.
func (r *planRevision) apply(locality routing.Locality, current *routing.Plan) *routing.Plan {
	if current == nil {
		current = routing.NewRankedPlan(locality, nil)
	}
	revised := current.Revised(locality, r.removed, r.added)
	if len(revised.Endpoints()) == 0 {
		return nil
	}
	return revised
}
