package batch

import (
	"github.com/pathtally/pathtally/internal/duties/weightorders"
	"github.com/pathtally/pathtally/internal/replicas/routing"
)

// candidateKey names the items that are placed among the same replicas of a plan.
type candidateKey struct {
	model string
	items int
}

// candidateSet are the replicas of one plan among which items are placed.
type candidateSet struct {
	plan  *routing.Plan
	byKey map[candidateKey][]*routing.Endpoint
}

// candidatesOf are the replicas of a service among which the items of a job are placed,
// worked out once for each plan. The mutex must be held.
func (s *scheduler) candidatesOf(service string, plan *routing.Plan, job *job) []*routing.Endpoint {
	set := s.candidates[service]
	if set == nil || set.plan != plan {
		set = &candidateSet{plan: plan, byKey: map[candidateKey][]*routing.Endpoint{}}
		s.candidates[service] = set
	}
	key := candidateKey{model: job.submission.Model, items: len(job.submission.Items)}
	chosen, known := set.byKey[key]
	if !known {
		chosen = weightorders.PlacementCandidates(plan, key.model, key.items)
		set.byKey[key] = chosen
	}
	return chosen
}
