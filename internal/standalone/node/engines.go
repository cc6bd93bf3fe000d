package node

import (
	"slices"
	"strings"
	"time"

	v1 "github.com/pathtally/pathtally/api/v1"
	"github.com/pathtally/pathtally/internal/replicas/routing"
	"github.com/pathtally/pathtally/internal/standalone/engine"
	"github.com/pathtally/pathtally/internal/standalone/poller"
	"github.com/pathtally/pathtally/internal/standalone/weights"
	"github.com/pathtally/pathtally/internal/wire"
)

// rebuild makes the snapshot anew: the configuration or the node's duties,
// and with them the engines to follow, have changed.
func (c *Core) rebuild() {
	if c.set == nil {
		return
	}
	engines := v1.All[*v1.Engine](c.set)
	targets := make([]poller.Target, len(engines))
	declared := make(map[string]bool, len(engines))
	for i, declaredEngine := range engines {
		targets[i] = poller.Target{Name: declaredEngine.Metadata.Name, Address: declaredEngine.Spec.Address, Zone: declaredEngine.Spec.Zone}
		declared[declaredEngine.Metadata.Name] = true
	}
	zone := poller.Followed(c.config.Self.Zone, targets)
	duty := c.dutyTargets(engines)
	c.poller.SetTargets(zone, duty)
	c.fleet.Retain(declared)
	c.followed = map[string]time.Duration{}
	for _, target := range duty {
		c.followed[target.Name] = poller.SlowPeriod
	}
	for _, target := range zone {
		c.followed[target.Name] = poller.Period
	}
	snapshot := c.builder.Build(c.generation, c.set, func(name string) bool {
		_, follows := c.followed[name]
		return follows
	})
	c.snapshot.Store(snapshot)
	c.refreshViews()
}

// dutyTargets are the engines that the schedulers and weight coordinators on
// this node have to follow besides those of the zone.
func (c *Core) dutyTargets(engines []*v1.Engine) []poller.Target {
	var targets []poller.Target
	for _, declared := range engines {
		if c.dutyNeeds(declared) {
			targets = append(targets, poller.Target{Name: declared.Metadata.Name, Address: declared.Spec.Address, Zone: declared.Spec.Zone})
		}
	}
	return targets
}

func (c *Core) dutyNeeds(declared *v1.Engine) bool {
	if _, held := c.weights[weightsLease(declared.Spec.Model, declared.Spec.Region)]; held {
		return true
	}
	for _, trainer := range v1.All[*v1.Trainer](c.set) {
		_, held := c.schedulers[schedulerLease(trainer.Metadata.Name)]
		if held && trainer.Spec.Model == declared.Spec.Model && v1.Matches(trainer.Spec.Engines, declared) {
			return true
		}
	}
	return false
}

// refreshViews brings what is known of each engine to the request path.
func (c *Core) refreshViews() {
	snapshot := c.snapshot.Load()
	if snapshot == nil {
		return
	}
	for _, endpoint := range snapshot.Endpoints {
		excluded := c.fleet.Excluded(endpoint.Name, endpoint.Address)
		if endpoint.State.Report().Excluded != excluded {
			c.setView(endpoint, excluded)
		}
	}
}

func (c *Core) setView(endpoint *routing.Endpoint, excluded bool) {
	load, _ := c.fleet.Load(endpoint.Name)
	endpoint.State.SetReport(routing.EndpointReport{
		Excluded: excluded,
		Running:  int(load.Running),
		Waiting:  int(load.Waiting),
		Version:  load.Version,
	})
}

// observeLoad takes in a load from this node's polls or from a peer's.
func (c *Core) observeLoad(load wire.EngineLoad, period time.Duration) {
	c.fleet.RecordLoad(load, period)
	snapshot := c.snapshot.Load()
	if snapshot == nil {
		return
	}
	if endpoint := snapshot.Endpoint(load.Engine); endpoint != nil {
		c.setView(endpoint, c.fleet.Excluded(endpoint.Name, endpoint.Address))
	}
}

// reportedLoad takes in a load that a peer has measured, if the engine is
// followed here.
func (c *Core) reportedLoad(load wire.EngineLoad) {
	if period, follows := c.followed[load.Engine]; follows {
		c.observeLoad(load, period)
	}
}

// distantHolders are the nodes of other zones that schedule for a trainer or
// coordinate weights.
func (c *Core) distantHolders() []string {
	var addresses []string
	for _, name := range c.table.LeaseNames() {
		if !strings.HasPrefix(name, schedulerPrefix) && !strings.HasPrefix(name, weightsPrefix) {
			continue
		}
		note, _ := c.table.Lease(name)
		holder, known := c.table.Get(note.Holder)
		if known && holder.Zone != c.config.Self.Zone && holder.State != wire.MemberDead && !slices.Contains(addresses, holder.Address) {
			addresses = append(addresses, holder.Address)
		}
	}
	return addresses
}

// weightTargets lists the engines of a model and region for a coordinator.
func (c *Core) weightTargets(model, region string) []weights.Target {
	var targets []weights.Target
	for _, declared := range v1.All[*v1.Engine](c.set) {
		if declared.Spec.Model != model || declared.Spec.Region != region {
			continue
		}
		load, known := c.fleet.Load(declared.Metadata.Name)
		targets = append(targets, weights.Target{
			Engine:    declared,
			Version:   load.Version,
			Staged:    load.Staged,
			Known:     known && load.Flags&wire.EngineHealthy != 0,
			InService: !declared.Spec.Cordoned && !c.fleet.Excluded(declared.Metadata.Name, declared.Spec.Address),
		})
	}
	return targets
}

// observeStatus takes in the status that came with the answer to an order.
func (c *Core) observeStatus(name string, status engine.Status) {
	c.reportedLoad(poller.LoadOf(name, status, true))
}
