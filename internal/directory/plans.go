package directory

import (
	"maps"

	"github.com/pathtally/pathtally/internal/routing"
)

// publishReplicas publishes a view with other replicas. What has not changed
// of it stays: most changes concern weights only, which no plan depends on,
// and there may be thousands of replicas.
func (t *Table) publishReplicas(next *View) {
	t.forgetDrained()
	standing := t.view.Load()
	next.Endpoints = make(map[string]*routing.Endpoint, len(next.Replicas))
	changed := map[string]bool{}
	for id, replica := range next.Replicas {
		endpoint := standing.Endpoints[id]
		if endpoint == nil || !sameEndpoint(endpoint, replica) {
			changed[replica.Service] = true
			if endpoint != nil {
				changed[endpoint.Model] = true
			}
			endpoint = t.newEndpoint(replica)
		}
		next.Endpoints[id] = endpoint
	}
	for id, endpoint := range standing.Endpoints {
		if next.Endpoints[id] == nil {
			changed[endpoint.Model] = true
			delete(t.states, id)
		}
	}
	next.Plans = t.plansOf(next.Endpoints, standing.Plans, changed)
	closeEvacuated(next)
	t.publish(next)
	openOthers(next)
}

// sameEndpoint tells whether a replica is as the router knows it.
func sameEndpoint(endpoint *routing.Endpoint, replica *Replica) bool {
	return endpoint.Address == replica.Address && endpoint.Zone == replica.Zone && endpoint.Model == replica.Service &&
		endpoint.Slots == max(1, replica.Slots)
}

// newEndpoint is a replica as the router sees it.
func (t *Table) newEndpoint(replica *Replica) *routing.Endpoint {
	state := t.states[replica.ID]
	if state == nil {
		state = routing.NewEndpointState()
		state.SetView(routing.EngineView{})
		t.states[replica.ID] = state
		t.logger.Info("replica added", "replica", replica.ID, "service", replica.Service, "address", replica.Address, "zone", replica.Zone)
	}
	made := routing.NewReplicaEndpoint(replica.ID, replica.Address, replica.Zone, t.regions[replica.Zone], replica.Service, replica.Slots, state)
	made.Instance = replica.InstanceName()
	return made
}

// plansOf are the plans of all services; those of services that have not
// changed are the standing ones.
func (t *Table) plansOf(endpoints map[string]*routing.Endpoint, standing map[string]*routing.Plan, changed map[string]bool) map[string]*routing.Plan {
	if len(changed) == 0 {
		return standing
	}
	byService := map[string][]*routing.Endpoint{}
	for _, endpoint := range endpoints {
		if changed[endpoint.Model] {
			byService[endpoint.Model] = append(byService[endpoint.Model], endpoint)
		}
	}
	plans := maps.Clone(standing)
	for service := range changed {
		if members := byService[service]; len(members) > 0 {
			plans[service] = routing.NewRankedPlan(t.place, members)
		} else {
			delete(plans, service)
		}
	}
	return plans
}
