package weights

import (
	"maps"
	"slices"
	"time"

	v1 "github.com/pathtally/pathtally/api/v1"
	"github.com/pathtally/pathtally/internal/environment"
	"github.com/pathtally/pathtally/internal/standalone/engine"
)

const (
	// reconcilePeriod is the time between two looks at all engines.
	reconcilePeriod = 200 * time.Millisecond
	// followPeriod is the time between questions to a staging engine.
	followPeriod = 200 * time.Millisecond
	// orderTimeout is how long an order may stay without effect before it
	// is given again.
	orderTimeout = 5 * time.Second
	// firstBackoff and maxBackoff bound the wait after a failed order.
	firstBackoff = 250 * time.Millisecond
	maxBackoff   = 5 * time.Second
	// DefaultStagings is how many engines stage at the same time.
	DefaultStagings = 64
)

// Target is one engine as the coordinator sees it.
type Target struct {
	Engine *v1.Engine
	// Version and Staged are as reported; Known is false before a report.
	Version int64
	Staged  int64
	Known   bool
	// InService is false while the engine gets no work.
	InService bool
}

// Config is what a Coordinator needs.
type Config struct {
	Model   string
	Scope   string
	Token   uint64
	Clock   environment.Clock
	Engines engine.Client
	// Declared returns the configuration in force.
	Declared func() *v1.Set
	// Targets returns the engines of the model in this region, by name.
	Targets func() []Target
	// Observed is called with the status that an engine gave with an order.
	Observed func(engine string, status engine.Status)
	// Stagings bounds the engines that stage together; zero is the default.
	Stagings int
}

// Coordinator reconciles the engines of one model in one region. It belongs
// to one goroutine.
type Coordinator struct {
	config  Config
	orders  map[string]*openOrder
	stopped bool
}

// openOrder is what was last asked of an engine.
type openOrder struct {
	action  engine.Action
	version int64
	busy    bool
	given   time.Time
	notTill time.Time
	backoff time.Duration
}

// NewCoordinator returns a coordinator that has not started.
func NewCoordinator(config Config) *Coordinator {
	if config.Stagings == 0 {
		config.Stagings = DefaultStagings
	}
	return &Coordinator{config: config, orders: map[string]*openOrder{}}
}

// Start begins to reconcile.
func (c *Coordinator) Start() {
	if c.stopped {
		return
	}
	c.Reconcile()
	c.config.Clock.AfterFunc(reconcilePeriod, c.Start)
}

// Stop ends the work; orders under way are fenced by the next holder's token.
func (c *Coordinator) Stop() { c.stopped = true }

// Reconcile gives the orders that are missing now.
func (c *Coordinator) Reconcile() {
	set := c.config.Declared()
	if set == nil || c.stopped {
		return
	}
	versions := c.versions(set)
	targets := c.config.Targets()
	c.forgetGone(targets)
	c.stage(versions, targets)
	c.activate(set, versions, targets)
}

func (c *Coordinator) versions(set *v1.Set) []*v1.WeightVersion {
	all := v1.All[*v1.WeightVersion](set)
	return slices.DeleteFunc(all, func(version *v1.WeightVersion) bool { return version.Spec.Model != c.config.Model })
}

// desired returns the greatest version to stage and the greatest to activate.
func desired(versions []*v1.WeightVersion, declared *v1.Engine) (stage, active int64) {
	for _, version := range versions {
		if version.Spec.Engines != "" && !v1.Matches(version.Spec.Engines, declared) {
			continue
		}
		stage = max(stage, version.Spec.Version)
		if version.Spec.Active {
			active = max(active, version.Spec.Version)
		}
	}
	return stage, active
}

func (c *Coordinator) stage(versions []*v1.WeightVersion, targets []Target) {
	staging := 0
	for _, target := range targets {
		if order := c.orders[target.Engine.Metadata.Name]; order != nil && order.action == engine.ActionStage && c.isOpen(order, target) {
			staging++
		}
	}
	for _, target := range targets {
		stage, _ := desired(versions, target.Engine)
		if !target.Known || stage <= max(target.Staged, target.Version) || staging >= c.config.Stagings {
			continue
		}
		if c.order(target, engine.ActionStage, stage) {
			staging++
		}
	}
}

// isOpen tells whether an order has been given and has not shown its effect.
func (c *Coordinator) isOpen(order *openOrder, target Target) bool {
	if order.busy {
		return true
	}
	if c.config.Clock.Now().Sub(order.given) > orderTimeout {
		return false
	}
	if order.action == engine.ActionStage {
		return target.Staged < order.version && target.Version < order.version
	}
	return target.Version < order.version
}

// activate swaps as many engines at once as the floors of the traffic groups
// allow; engines out of service anyway count as already missing.
func (c *Coordinator) activate(set *v1.Set, versions []*v1.WeightVersion, targets []Target) {
	allowed := allowedSwaps(set, c.config.Model, targets)
	for _, target := range targets {
		order := c.orders[target.Engine.Metadata.Name]
		if order != nil && order.action == engine.ActionActivate && c.isOpen(order, target) {
			allowed--
		}
	}
	for _, target := range targets {
		_, active := desired(versions, target.Engine)
		if !target.Known || active <= target.Version || target.Staged < active {
			continue
		}
		if allowed <= 0 {
			return
		}
		if c.order(target, engine.ActionActivate, active) {
			allowed--
		}
	}
}

// allowedSwaps is how many engines may be swapping at the same time so that
// the group with the greatest floor keeps it. At least one may, or a single
// engine could never be updated.
func allowedSwaps(set *v1.Set, model string, targets []Target) int {
	floor := 0.0
	for _, group := range v1.All[*v1.TrafficGroup](set) {
		if group.Spec.Model == model {
			floor = max(floor, group.Spec.FloorShare)
		}
	}
	inService := 0
	for _, target := range targets {
		if target.InService {
			inService++
		}
	}
	return max(1, inService-int(floor*float64(len(targets))+0.5))
}

func (c *Coordinator) order(target Target, action engine.Action, version int64) bool {
	name := target.Engine.Metadata.Name
	now := c.config.Clock.Now()
	order := c.orders[name]
	if order == nil || order.action != action || order.version != version {
		if order != nil && order.busy {
			return false
		}
		order = &openOrder{action: action, version: version, backoff: firstBackoff}
		c.orders[name] = order
	}
	if order.busy || now.Before(order.notTill) {
		return false
	}
	order.busy, order.given = true, now
	order.notTill = now.Add(orderTimeout)
	instruction := engine.Order{Scope: c.config.Scope, Token: c.config.Token, Action: action, Version: version}
	c.config.Engines.Order(target.Engine.Spec.Address, instruction, func(status engine.Status, err error) {
		order.busy = false
		if err != nil {
			order.notTill = c.config.Clock.Now().Add(order.backoff)
			order.backoff = min(2*order.backoff, maxBackoff)
			return
		}
		c.config.Observed(name, status)
		if c.stopped {
			return
		}
		c.Reconcile()
		if action == engine.ActionStage {
			c.follow(target, order)
		}
	})
	return true
}

// follow asks an engine that is staging until it has the weights, so that the
// activation need not wait for the next load report.
func (c *Coordinator) follow(target Target, order *openOrder) {
	name := target.Engine.Metadata.Name
	c.config.Clock.AfterFunc(followPeriod, func() {
		if c.stopped || c.orders[name] != order || c.config.Clock.Now().Sub(order.given) > orderTimeout {
			return
		}
		c.config.Engines.Status(target.Engine.Spec.Address, func(status engine.Status, err error) {
			if c.stopped {
				return
			}
			if err == nil {
				c.config.Observed(name, status)
				if status.Staged >= order.version {
					c.Reconcile()
					return
				}
			}
			c.follow(target, order)
		})
	})
}

func (c *Coordinator) forgetGone(targets []Target) {
	targeted := map[string]bool{}
	for _, target := range targets {
		targeted[target.Engine.Metadata.Name] = true
	}
	maps.DeleteFunc(c.orders, func(name string, _ *openOrder) bool { return !targeted[name] })
}
