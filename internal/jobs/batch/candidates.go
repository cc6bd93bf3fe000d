package batch

import (
	"github.com/pathtally/pathtally/internal/duties/weightorders"
	"github.com/pathtally/pathtally/internal/replicas/routing"
)

// candidateKey identifies the items that share candidates within a plan.
type candidateKey struct {
	model string
	items int
}

// candidateSet caches the candidate replicas computed from one plan.
type candidateSet struct {
	plan  *routing.Plan
	byKey map[candidateKey][]*routing.Endpoint
}

// candidatesOf returns the replicas of a service that may run the items of a job. The
// result is cached until the plan changes. The mutex must be held.
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
