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
	// reconcilePeriod is the time between two reconciliations of all engines.
	reconcilePeriod = 200 * time.Millisecond
	// statusPollPeriod is the time between status requests to a staging engine.
	statusPollPeriod = 200 * time.Millisecond
	// orderTimeout is how long an order may remain without effect before
	// it is sent again.
	orderTimeout = 5 * time.Second
	// initialBackoff and maxBackoff bound the backoff after a failed order.
	initialBackoff = 250 * time.Millisecond
	maxBackoff     = 5 * time.Second
	// DefaultMaxStaging is the default of Config.MaxStaging.
	DefaultMaxStaging = 64
)

// Target is one engine as the coordinator sees it.
type Target struct {
	Engine *v1.Engine
	// Version is the active version and Staged the staged one, as reported.
	// Known is true if the last load report says that the engine is healthy.
	// Other engines get no orders.
	Version int64
	Staged  int64
	Known   bool
	// InService is false while the engine is excluded from new work.
	InService bool
}

// Config holds the settings and dependencies of a Coordinator.
type Config struct {
	Model   string
	Scope   string
	Token   uint64
	Clock   environment.Clock
	Engines engine.Client
	// DeclaredSet returns the current configuration, or nil if there is none yet.
	DeclaredSet func() *v1.Set
	// Targets returns the engines of the model in this region, sorted by name.
	Targets func() []Target
	// OnStatus is called with each status that an engine returns for an order
	// or a status request.
	OnStatus func(engine string, status engine.Status)
	// MaxStaging limits how many engines stage at the same time; zero means
	// DefaultMaxStaging.
	MaxStaging int
}

// Coordinator reconciles the engines of one model in one region. It is not
// safe for concurrent use.
type Coordinator struct {
	config  Config
	orders  map[string]*orderState
	stopped bool
}

// orderState is the last order sent to an engine. The same order is not repeated
// before notBefore.
type orderState struct {
	action    engine.Action
	version   int64
	inFlight  bool
	sentAt    time.Time
	notBefore time.Time
	backoff   time.Duration
}

// NewCoordinator returns a coordinator that has not started.
func NewCoordinator(config Config) *Coordinator {
	if config.MaxStaging == 0 {
		config.MaxStaging = DefaultMaxStaging
	}
	return &Coordinator{config: config, orders: map[string]*orderState{}}
}

// Start reconciles now and then every reconcilePeriod until Stop.
func (c *Coordinator) Start() {
	if c.stopped {
		return
	}
	c.Reconcile()
	c.config.Clock.AfterFunc(reconcilePeriod, c.Start)
}

// Stop ends reconciliation. Orders in flight are not cancelled; the next lease
// holder's fencing token supersedes them.
func (c *Coordinator) Stop() { c.stopped = true }

// Reconcile sends the orders that are missing now.
func (c *Coordinator) Reconcile() {
	set := c.config.DeclaredSet()
	if set == nil || c.stopped {
		return
	}
	versions := c.modelVersions(set)
	targets := c.config.Targets()
	c.pruneOrders(targets)
	c.stage(versions, targets)
	c.activate(set, versions, targets)
}

func (c *Coordinator) modelVersions(set *v1.Set) []*v1.WeightVersion {
	all := v1.All[*v1.WeightVersion](set)
	return slices.DeleteFunc(all, func(version *v1.WeightVersion) bool { return version.Spec.Model != c.config.Model })
}

// desired returns the greatest version to stage and the greatest to activate
// among those declared for an engine.
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
		if order := c.orders[target.Engine.Metadata.Name]; order != nil && order.action == engine.ActionStage && c.isPending(order, target) {
			staging++
		}
	}
	for _, target := range targets {
		stage, _ := desired(versions, target.Engine)
		if !target.Known || stage <= max(target.Staged, target.Version) || staging >= c.config.MaxStaging {
			continue
		}
		if c.sendOrder(target, engine.ActionStage, stage) {
			staging++
		}
	}
}

// isPending reports whether an order is in flight, or was sent within orderTimeout
// and has not taken effect.
func (c *Coordinator) isPending(order *orderState, target Target) bool {
	if order.inFlight {
		return true
	}
	if c.config.Clock.Now().Sub(order.sentAt) > orderTimeout {
		return false
	}
	if order.action == engine.ActionStage {
		return target.Staged < order.version && target.Version < order.version
	}
	return target.Version < order.version
}

// activate sends activation orders to as many engines at once as the floor
// shares of the traffic groups allow.
func (c *Coordinator) activate(set *v1.Set, versions []*v1.WeightVersion, targets []Target) {
	allowed := maxActivations(set, c.config.Model, targets)
	for _, target := range targets {
		order := c.orders[target.Engine.Metadata.Name]
		if order != nil && order.action == engine.ActionActivate && c.isPending(order, target) {
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
		if c.sendOrder(target, engine.ActionActivate, active) {
			allowed--
		}
	}
}

// maxActivations returns how many engines may activate a version together
// while the greatest floor share stays in service. Engines that are already out
// of service reduce the result. It is at least 1, since otherwise a model with a
// single engine could never be updated.
func maxActivations(set *v1.Set, model string, targets []Target) int {
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

// sendOrder sends an order and reports whether it did. It does not while another
// order to the engine is in flight, nor repeats an order before its notBefore.
func (c *Coordinator) sendOrder(target Target, action engine.Action, version int64) bool {
	name := target.Engine.Metadata.Name
	now := c.config.Clock.Now()
	order := c.orders[name]
	if order == nil || order.action != action || order.version != version {
		if order != nil && order.inFlight {
			return false
		}
		order = &orderState{action: action, version: version, backoff: initialBackoff}
		c.orders[name] = order
	}
	if order.inFlight || now.Before(order.notBefore) {
		return false
	}
	order.inFlight, order.sentAt = true, now
	order.notBefore = now.Add(orderTimeout)
	request := engine.Order{Scope: c.config.Scope, Token: c.config.Token, Action: action, Version: version}
	c.config.Engines.Order(target.Engine.Spec.Address, request, func(status engine.Status, err error) {
		order.inFlight = false
		if err != nil {
			order.notBefore = c.config.Clock.Now().Add(order.backoff)
			order.backoff = min(2*order.backoff, maxBackoff)
			return
		}
		c.config.OnStatus(name, status)
		if c.stopped {
			return
		}
		c.Reconcile()
		if action == engine.ActionStage {
			c.pollStatus(target, order)
		}
	})
	return true
}

// pollStatus requests the status of a staging engine until it has staged the
// version, so that activation does not wait for the next load report.
func (c *Coordinator) pollStatus(target Target, order *orderState) {
	name := target.Engine.Metadata.Name
	c.config.Clock.AfterFunc(statusPollPeriod, func() {
		if c.stopped || c.orders[name] != order || c.config.Clock.Now().Sub(order.sentAt) > orderTimeout {
			return
		}
		c.config.Engines.Status(target.Engine.Spec.Address, func(status engine.Status, err error) {
			if c.stopped {
				return
			}
			if err == nil {
				c.config.OnStatus(name, status)
				if status.Staged >= order.version {
					c.Reconcile()
					return
				}
			}
			c.pollStatus(target, order)
		})
	})
}

// pruneOrders removes the order state of engines that are no longer targets.
func (c *Coordinator) pruneOrders(targets []Target) {
	present := map[string]bool{}
	for _, target := range targets {
		present[target.Engine.Metadata.Name] = true
	}
	maps.DeleteFunc(c.orders, func(name string, _ *orderState) bool { return !present[name] })
}
