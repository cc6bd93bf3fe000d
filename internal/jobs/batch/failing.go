package batch

import (
	"github.com/pathtally/pathtally/internal/jobs/replicastate"
	"slices"
	"time"
)

// maxFailuresFactor is the multiple of the route's attempts at which an item is
// abandoned, counting its failures at failing replicas too. The platform forbids a
// further run after three times the attempts.
const maxFailuresFactor = 2

// recordFailure records that an item failed at a replica, according to its response, and
// abandons the item once its attributed failures or all its failures reach their limits.
// The mutex must be held.
func (s *scheduler) recordFailure(running *itemRun, state *replicastate.State) {
	work, replica, now := running.item, running.endpoint.Name, time.Now()
	wasFailing := state.Failures.IsFailing(now)
	if !slices.Contains(work.failedReplicas, replica) {
		// Repeated failures of an item at one replica count once in the failure rate of
		// the replica.
		state.Failures.Observe(true, now)
		work.failedReplicas = append(work.failedReplicas, replica)
	}
	isFailing := state.Failures.IsFailing(now)
	if isFailing && !wasFailing {
		s.config.Logger.Info("replica marked as failing", "replica", replica, "rate", state.Failures.At(now))
	}
	work.retryAt = now.Add(failureRetryDelay)
	work.failures++
	if !isFailing {
		work.attributedFailures++
	}
	attempts := s.itemAttempts(work)
	if work.attributedFailures >= attempts || work.failures >= maxFailuresFactor*attempts {
		s.abandon(work, "attempts exhausted")
	}
}
