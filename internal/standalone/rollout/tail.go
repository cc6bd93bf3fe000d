package rollout

import (
	"slices"
	"time"

	"github.com/pathtally/pathtally/internal/replicas/routing"
)

// checkTails moves or hedges late samples of the oldest step that has no
// pending slots and is partly finished.
func (s *Scheduler) checkTails() {
	plan := s.plan()
	if plan == nil {
		return
	}
	policy := s.policy()
	for _, step := range s.openSteps() {
		if step.phase != phaseGenerating || len(step.pending) > 0 {
			continue
		}
		running := step.runningSlots()
		if len(running) == 0 || len(running) == len(step.slots) {
			continue
		}
		median := medianDuration(step.durations)
		for _, late := range running {
			s.checkTail(late, plan.Plan, policy, len(running), median)
		}
		return
	}
}

func (s *Scheduler) checkTail(late *slot, plan *routing.Plan, policy samplePolicy, remaining int, median time.Duration) {
	first := late.attempts[0]
	if first.endpoint == nil || first.moving {
		return
	}
	target, load := s.leastLoaded(plan, late, first.endpoint)
	action := decideTail(tailSample{
		remaining: remaining,
		total:     len(late.step.slots),
		elapsed:   s.config.Clock.Now().Sub(first.started),
		median:    median,
		load:      loadShare(first.endpoint),
		leastLoad: load,
		attempts:  len(late.attempts),
		moves:     first.moves,
	})
	if target == nil {
		return
	}
	switch action {
	case tailMove:
		first.moving = true
		first.moves++
		s.config.Engines.Export(first.endpoint.Address, first.machine.DispatchID())
	case tailHedge:
		s.start(late, target, policy.priority(0))
	}
}

// leastLoaded returns the least loaded other engine that may run the sample,
// and its load as a fraction of its slots.
func (s *Scheduler) leastLoaded(plan *routing.Plan, late *slot, except *routing.Endpoint) (*routing.Endpoint, float64) {
	minVersion := s.minVersion(late.step)
	var best *routing.Endpoint
	for _, endpoint := range plan.Endpoints() {
		if endpoint.Name == except.Name || endpoint.Excluded() || !endpoint.TakesRollouts || endpoint.Version() < minVersion {
			continue
		}
		if best == nil || loadShare(endpoint) < loadShare(best) {
			best = endpoint
		}
	}
	if best == nil {
		return nil, 0
	}
	return best, loadShare(best)
}

func loadShare(endpoint *routing.Endpoint) float64 {
	return float64(endpoint.Load()) / float64(endpoint.Slots)
}

func medianDuration(durations []time.Duration) time.Duration {
	if len(durations) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(durations))
	return sorted[len(sorted)/2]
}
