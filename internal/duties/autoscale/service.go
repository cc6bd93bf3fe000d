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
	// exhaustedZoneBackoff is the backoff of a zone that had no replicas available.
	exhaustedZoneBackoff = 10 * time.Second
)

// Service orders replicas while this node holds the duty lease. Only the goroutine of Run
// uses its state.
type Service struct {
	config   Config
	metrics  *metrics
	trackers map[string]*tracker
}

// NewService returns a Service that does nothing before Run is called.
func NewService(config Config) *Service {
	return &Service{config: config, metrics: newMetrics(config.Registry), trackers: map[string]*tracker{}}
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
		tracker := s.tracker(name)
		state := s.serviceState(view, &service, tracker, now)
		if !s.config.Elector.IsCandidate() || !s.loadLedger(ctx, tracker, now) {
			continue
		}
		for _, change := range tracker.due(Decide(s.config.Policy, state, tracker.baseline()), now) {
			due = true
			// An order is not placed if the record was read before this node acquired the
			// lease, because the former holder may have changed the record since.
			if ready, _ := s.config.Elector.EnsureHeld(ctx, dutyName); ready && tracker.ledger.isCurrent(s.heldSince(), now) {
				s.placeOrder(ctx, tracker, name, change, now)
			}
		}
	}
	if !due {
		s.config.Elector.MarkIdle(dutyName)
	}
}

// heldSince returns the time since which this node has held the lease, or zero if calls may
// not be sent now.
func (s *Service) heldSince() time.Time {
	since, valid := s.config.Elector.HeldSince()
	if !valid {
		return time.Time{}
	}
	return since
}

// loadLedger reads the recorded orders unless they are current, and returns whether that
// succeeded.
func (s *Service) loadLedger(ctx context.Context, tracker *tracker, now time.Time) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := tracker.ledger.load(ctx, s.heldSince(), now); err != nil {
		s.config.Logger.Info("failed to read replica orders", "service", tracker.ledger.service, "error", err.Error())
		return false
	}
	return true
}

// tracker returns the tracker of a service, a new one if there is none.
func (s *Service) tracker(service string) *tracker {
	current := s.trackers[service]
	if current == nil {
		current = newTracker(s.config.Store, service)
		s.trackers[service] = current
	}
	return current
}

// serviceState returns the state of a service, and updates its tracker and metrics.
func (s *Service) serviceState(view *directory.View, service *directory.Service, tracker *tracker, now time.Time) *ServiceState {
	running, open := s.config.Work(service.Name)
	tracker.peak.add(now, running, open)
	state := &ServiceState{
		Service: service.Name, Scaling: *service.Scaling, Slots: service.Engine.Slots, Present: map[string]int{}, Evacuated: map[string]bool{}, Exhausted: map[string]bool{},
	}
	state.RunningItems, state.OpenItems = tracker.peak.maximum()
	for _, replica := range view.Replicas {
		if replica.Service == service.Name {
			state.Present[replica.Zone]++
		}
	}
	for zone, until := range tracker.exhaustedUntil {
		state.Exhausted[zone] = now.Before(until)
	}
	for _, endpoint := range view.Endpoints {
		if endpoint.Model == service.Name && endpoint.State.Evacuated() {
			state.Evacuated[endpoint.Zone] = true
		}
	}
	for zone, count := range state.Present {
		if tracker.ledger.content.Ordered[zone] == 0 {
			tracker.maxSeen[zone] = max(tracker.maxSeen[zone], count)
		}
	}
	s.metrics.setGauges(state, tracker)
	return state
}

// placeOrder records a target in the ledger and orders it.
func (s *Service) placeOrder(ctx context.Context, tracker *tracker, service string, target ZoneTarget, now time.Time) {
	if err := s.recordOrder(ctx, tracker, target); err != nil {
		s.config.Logger.Info("failed to record replica order", "service", service, "zone", target.Zone, "replicas", target.Replicas, "error", err.Error())
		return
	}
	tracker.orderedAt[target.Zone] = now
	err := s.sendOrder(ctx, service, target)
	s.metrics.countOrder(err)
	switch {
	case errors.Is(err, ErrNoCapacity):
		tracker.exhaustedUntil[target.Zone] = now.Add(exhaustedZoneBackoff)
	case err == nil:
		tracker.accepted[target.Zone] = target.Replicas
		s.config.Logger.Info("replicas ordered", "service", service, "zone", target.Zone, "replicas", target.Replicas, "reason", target.Reason)
		return
	}
	s.config.Logger.Info("replica order not accepted", "service", service, "zone", target.Zone, "replicas", target.Replicas, "error", err.Error())
}

// recordOrder stores an order. It is called before the order is sent.
func (s *Service) recordOrder(ctx context.Context, tracker *tracker, target ZoneTarget) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	next := record{Base: tracker.baseline(), Ordered: maps.Clone(tracker.ledger.content.Ordered)}
	if next.Ordered[target.Zone] == target.Replicas {
		return nil
	}
	next.Ordered[target.Zone] = target.Replicas
	return tracker.ledger.write(ctx, next)
}

// sendOrder sends an order under the lease.
func (s *Service) sendOrder(ctx context.Context, service string, target ZoneTarget) error {
	permit, valid := s.config.Elector.BeginCall()
	if !valid {
		return lease.ErrFenced
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := s.config.Platform.Order(ctx, Order{
		Service: service, Zone: target.Zone, Replicas: target.Replicas, Holder: permit.Holder, Token: permit.Token,
	})
	permit.Done(!errors.Is(err, lease.ErrUnanswered))
	return err
}
