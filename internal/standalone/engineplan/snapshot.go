package engineplan

import (
	"slices"

	v1 "github.com/pathtally/pathtally/api/v1"
	"github.com/pathtally/pathtally/internal/cluster/rendezvous"
	"github.com/pathtally/pathtally/internal/replicas/routing"
)

// Snapshot is all that the request path reads: the plans, groups, models and
// limits of one configuration generation with the newest loads. It is
// immutable and published through an atomic pointer.
type Snapshot struct {
	Generation uint64
	Models     map[string]*v1.Model
	Groups     map[string]*GroupPlan
	// DefaultGroups gives the group of a request that names a model only.
	DefaultGroups map[string]*GroupPlan
	Trainers      map[string]*TrainerPlan
	Endpoints     []*routing.Endpoint
	byName        map[string]*routing.Endpoint
}

// Endpoint returns an engine that the node follows, or nil.
func (s *Snapshot) Endpoint(name string) *routing.Endpoint { return s.byName[name] }

// GroupPlan is a traffic group with its engines and limit.
type GroupPlan struct {
	Group *v1.TrafficGroup
	Limit *v1.Limit
	Plan  *routing.Plan
}

// TrainerPlan is a trainer with the engines of its rollouts.
type TrainerPlan struct {
	Trainer *v1.Trainer
	Plan    *routing.Plan
}

// Builder makes snapshots and keeps the state of engines across them. It
// belongs to one goroutine.
type Builder struct {
	zone   string
	states map[string]*routing.EndpointState
}

// NewBuilder returns a builder for a node in a zone.
func NewBuilder(zone string) *Builder {
	return &Builder{zone: zone, states: map[string]*routing.EndpointState{}}
}

// Build makes the snapshot of a configuration from the engines that the node
// follows.
func (b *Builder) Build(generation uint64, set *v1.Set, follows func(engine string) bool) *Snapshot {
	snapshot := &Snapshot{
		Generation:    generation,
		Models:        map[string]*v1.Model{},
		Groups:        map[string]*GroupPlan{},
		DefaultGroups: map[string]*GroupPlan{},
		Trainers:      map[string]*TrainerPlan{},
	}
	for _, model := range v1.All[*v1.Model](set) {
		snapshot.Models[model.Metadata.Name] = model
	}
	engines := slices.DeleteFunc(v1.All[*v1.Engine](set), func(engine *v1.Engine) bool {
		return !follows(engine.Metadata.Name)
	})
	endpoints := b.endpoints(engines)
	snapshot.Endpoints = endpoints
	snapshot.byName = make(map[string]*routing.Endpoint, len(endpoints))
	for _, endpoint := range endpoints {
		snapshot.byName[endpoint.Name] = endpoint
	}
	b.addGroups(snapshot, set, engines, endpoints)
	for _, trainer := range v1.All[*v1.Trainer](set) {
		var allowed []*routing.Endpoint
		for i, engine := range engines {
			if engine.Spec.Model == trainer.Spec.Model && v1.Matches(trainer.Spec.Engines, engine) {
				allowed = append(allowed, endpoints[i])
			}
		}
		snapshot.Trainers[trainer.Metadata.Name] = &TrainerPlan{Trainer: trainer, Plan: routing.NewPlan(b.zone, allowed)}
	}
	return snapshot
}

func (b *Builder) endpoints(engines []*v1.Engine) []*routing.Endpoint {
	endpoints := make([]*routing.Endpoint, len(engines))
	kept := make(map[string]*routing.EndpointState, len(engines))
	for i, engine := range engines {
		name := engine.Metadata.Name
		state := b.states[name]
		if state == nil {
			state = routing.NewEndpointState()
		}
		kept[name] = state
		endpoints[i] = &routing.Endpoint{
			Name:          name,
			Address:       engine.Spec.Address,
			Zone:          engine.Spec.Zone,
			Model:         engine.Spec.Model,
			Slots:         engine.Spec.Slots,
			Hash:          rendezvous.Hash(name),
			TakesRequests: engine.Spec.Role != v1.RoleRollout,
			TakesRollouts: engine.Spec.Role != v1.RoleServe,
			Cordoned:      engine.Spec.Cordoned,
			State:         state,
		}
	}
	b.states = kept
	return endpoints
}

// State returns the counters of an engine, or nil when it is not declared.
func (b *Builder) State(name string) *routing.EndpointState { return b.states[name] }

func (b *Builder) addGroups(snapshot *Snapshot, set *v1.Set, engines []*v1.Engine, endpoints []*routing.Endpoint) {
	rules := v1.All[*v1.RoutingRule](set)
	limits := v1.All[*v1.Limit](set)
	for _, group := range v1.All[*v1.TrafficGroup](set) {
		var allowed []*routing.Endpoint
		for i, engine := range engines {
			if engine.Spec.Model == group.Spec.Model && anyRuleAllows(rules, group, engine) {
				allowed = append(allowed, endpoints[i])
			}
		}
		plan := &GroupPlan{Group: group, Limit: limitFor(limits, group), Plan: routing.NewPlan(b.zone, allowed)}
		snapshot.Groups[group.Metadata.Name] = plan
		current := snapshot.DefaultGroups[group.Spec.Model]
		if current == nil || group.Spec.Priority < current.Group.Spec.Priority {
			// A request that names no group gets the least urgent one.
			snapshot.DefaultGroups[group.Spec.Model] = plan
		}
	}
}

func anyRuleAllows(rules []*v1.RoutingRule, group *v1.TrafficGroup, engine *v1.Engine) bool {
	for _, rule := range rules {
		if v1.Matches(rule.Spec.Groups, group) && v1.Matches(rule.Spec.Engines, engine) {
			return true
		}
	}
	return false
}

// limitFor returns the first limit, by name, that selects a group, or one
// with every default.
func limitFor(limits []*v1.Limit, group *v1.TrafficGroup) *v1.Limit {
	for _, limit := range limits {
		if v1.Matches(limit.Spec.Groups, group) {
			return limit
		}
	}
	limit := &v1.Limit{}
	limit.SetDefaults()
	return limit
}
