package rollout

import (
	"slices"
	"time"

	"github.com/pathtally/pathtally/internal/replicas/routing"
)

// watchTails moves or races the last samples of the oldest open step.
func (s *Scheduler) watchTails() {
	plan := s.plan()
	if plan == nil {
		return
	}
	policy := s.policy()
	for _, step := range s.openSteps() {
		if step.phase != phaseGenerating || len(step.pending) > 0 {
			continue
		}
		running := step.running()
		if len(running) == 0 || len(running) == len(step.slots) {
			continue
		}
		median := medianOf(step.durations)
		for _, late := range running {
			s.watchTail(late, plan.Plan, policy, len(running), median)
		}
		return
	}
}

func (s *Scheduler) watchTail(late *slot, plan *routing.Plan, policy samplePolicy, remaining int, median time.Duration) {
	first := late.attempts[0]
	if first.endpoint == nil || first.moving {
		return
	}
	quietest, load := s.quietest(plan, late, first.endpoint)
	action := decideTail(tailView{
		remaining: remaining,
		total:     len(late.step.slots),
		elapsed:   s.config.Clock.Now().Sub(first.started),
		median:    median,
		load:      shareOf(first.endpoint),
		quietest:  load,
		attempts:  len(late.attempts),
		moves:     first.moves,
	})
	if quietest == nil {
		return
	}
	switch action {
	case tailMove:
		first.moving = true
		first.moves++
		s.config.Engines.Export(first.endpoint.Address, first.machine.DispatchID())
	case tailRace:
		s.start(late, quietest, policy.priority(0))
	}
}

// quietest returns the engine with the least load among those that could take
// a sample, other than the one that has it.
func (s *Scheduler) quietest(plan *routing.Plan, late *slot, except *routing.Endpoint) (*routing.Endpoint, float64) {
	bound := s.bound(late.step)
	var best *routing.Endpoint
	for _, endpoint := range plan.Endpoints() {
		if endpoint.Name == except.Name || endpoint.Excluded() || !endpoint.TakesRollouts || endpoint.Version() < bound {
			continue
		}
		if best == nil || shareOf(endpoint) < shareOf(best) {
			best = endpoint
		}
	}
	if best == nil {
		return nil, 0
	}
	return best, shareOf(best)
}

func shareOf(endpoint *routing.Endpoint) float64 {
	return float64(endpoint.Load()) / float64(endpoint.Slots)
}

func medianOf(durations []time.Duration) time.Duration {
	if len(durations) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(durations))
	return sorted[len(sorted)/2]
}
