package autoscale

import (
	"context"
	"errors"
	"maps"
	"time"

	"github.com/pathtally/pathtally/internal/duties/lease"
	"github.com/pathtally/pathtally/internal/replicas/directory"
	"github.com/pathtally/pathtally/internal/store/objectstore"
)

const (
	// dutyName identifies this duty to the lease.
	dutyName = "replica-orders"
	// pollInterval is the time between decisions. It is much shorter than the time between
	// a trainer's steps.
	pollInterval = 500 * time.Millisecond
	// orderTimeout bounds one order, and storeTimeout one store access.
	orderTimeout = 900 * time.Millisecond
	storeTimeout = 900 * time.Millisecond
	// fullZoneDelay is the backoff of a zone that had no replicas available.
	fullZoneDelay = 10 * time.Second
)

// Service orders replicas while this node holds the duty lease. Only the goroutine of Run
// uses its state.
type Service struct {
	config   Config
	metrics  *metrics
	services map[string]*plan
}

// NewService returns a Service that does nothing before Run is called.
func NewService(config Config) *Service {
	return &Service{config: config, metrics: newMetrics(config.Registry), services: map[string]*plan{}}
}

// Run orders replicas until the context is done.
func (s *Service) Run(ctx context.Context) {
	for objectstore.Sleep(ctx, pollInterval) {
		s.step(ctx, time.Now())
	}
}

// step updates the state of each service whose replicas can be ordered, and places the
// orders that are due.
func (s *Service) step(ctx context.Context, now time.Time) {
	view := s.config.Directory.View()
	if view.Configuration == nil {
		return
	}
	due := false
	for name, service := range view.Configuration.Services {
		if service.Scaling == nil || service.Engine == nil {
			continue
		}
		plan := s.plan(name)
		seen := s.viewOf(view, &service, plan, now)
		if !s.config.Elector.IsCandidate() || !s.loadLedger(ctx, plan) {
			continue
		}
		for _, change := range plan.due(Decide(s.config.Policy, seen, plan.base()), now) {
			due = true
			if ready, _ := s.config.Elector.EnsureHeld(ctx, dutyName); ready {
				s.placeOrder(ctx, plan, name, change, now)
			}
		}
	}
	if !due {
		s.config.Elector.MarkIdle(dutyName)
	}
}

// loadLedger reads the recorded orders unless they are known, and returns whether that
// succeeded.
func (s *Service) loadLedger(ctx context.Context, plan *plan) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := plan.ledger.load(ctx); err != nil {
		s.config.Logger.Info("orders of replicas not read", "service", plan.ledger.service, "error", err.Error())
		return false
	}
	return true
}

// plan returns the state of a service, a new one if there is none.
func (s *Service) plan(service string) *plan {
	current := s.services[service]
	if current == nil {
		current = newPlan(s.config.Store, service)
		s.services[service] = current
	}
	return current
}

// viewOf returns the view of a service, and updates the plan and the metrics from it.
func (s *Service) viewOf(view *directory.View, service *directory.Service, plan *plan, now time.Time) *ServiceState {
	running, open := s.config.Work(service.Name)
	plan.peak.add(now, running, open)
	seen := &ServiceState{
		Service: service.Name, Scaling: *service.Scaling, Slots: service.Engine.Slots, Present: map[string]int{}, Evacuated: map[string]bool{}, Exhausted: map[string]bool{},
	}
	seen.RunningItems, seen.OpenItems = plan.peak.greatest()
	for _, replica := range view.Replicas {
		if replica.Service == service.Name {
			seen.Present[replica.Zone]++
		}
	}
	for zone, until := range plan.fullUntil {
		seen.Exhausted[zone] = now.Before(until)
	}
	for _, endpoint := range view.Endpoints {
		if endpoint.Model == service.Name && endpoint.State.Evacuated() {
			seen.Evacuated[endpoint.Zone] = true
		}
	}
	for zone, count := range seen.Present {
		if plan.ledger.known.Ordered[zone] == 0 {
			plan.maxSeen[zone] = max(plan.maxSeen[zone], count)
		}
	}
	s.metrics.show(seen, plan)
	return seen
}

// placeOrder records a target in the ledger and orders it.
func (s *Service) placeOrder(ctx context.Context, plan *plan, service string, want ZoneTarget, now time.Time) {
	if err := s.recordOrder(ctx, plan, want); err != nil {
		s.config.Logger.Info("replicas not ordered", "service", service, "zone", want.Zone, "replicas", want.Replicas, "error", err.Error())
		return
	}
	plan.orderedAt[want.Zone] = now
	err := s.order(ctx, service, want)
	s.metrics.count(err)
	switch {
	case errors.Is(err, ErrNoCapacity):
		plan.fullUntil[want.Zone] = now.Add(fullZoneDelay)
	case err == nil:
		plan.accepted[want.Zone] = want.Replicas
		s.config.Logger.Info("replicas ordered", "service", service, "zone", want.Zone, "replicas", want.Replicas, "reason", want.Reason)
		return
	}
	s.config.Logger.Info("order of replicas not taken", "service", service, "zone", want.Zone, "replicas", want.Replicas, "error", err.Error())
}

// recordOrder stores an order. It is called before the order is sent.
func (s *Service) recordOrder(ctx context.Context, plan *plan, want ZoneTarget) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := plan.ledger.load(ctx); err != nil {
		return err
	}
	next := record{Base: plan.base(), Ordered: maps.Clone(plan.ledger.known.Ordered)}
	if next.Ordered[want.Zone] == want.Replicas {
		return nil
	}
	next.Ordered[want.Zone] = want.Replicas
	return plan.ledger.write(ctx, next)
}

// order sends an order under the lease.
func (s *Service) order(ctx context.Context, service string, want ZoneTarget) error {
	permit, valid := s.config.Elector.BeginCall()
	if !valid {
		return lease.ErrFenced
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := s.config.Platform.Order(ctx, Order{
		Service: service, Zone: want.Zone, Replicas: want.Replicas, Holder: permit.Holder, Token: permit.Token,
	})
	permit.Done(!errors.Is(err, lease.ErrUnanswered))
	return err
}
