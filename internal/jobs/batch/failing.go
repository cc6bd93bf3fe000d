package batch

import (
	"github.com/pathtally/pathtally/internal/jobs/replicastate"
	"slices"
	"time"
)

// maxFailuresFactor is how many times the attempts of its route an item may fail before
// it is given up, where the replicas are to blame. The platform forbids a further run
// after three times as many.
const maxFailuresFactor = 2

// recordFailure records that a replica answered that an item failed there, and gives the
// item up once that is certain to be the item's own fault. The mutex must be held.
func (s *scheduler) recordFailure(running *attempt, state *replicastate.State) {
	work, replica, now := running.item, running.endpoint.Name, time.Now()
	wasFailing := state.Failures.IsFailing(now)
	if !slices.Contains(work.failedAt, replica) {
		// An item that fails where it has failed before says nothing new of the
		// replica.
		state.Failures.Observe(true, now)
		work.failedAt = append(work.failedAt, replica)
	}
	isFailing := state.Failures.IsFailing(now)
	if isFailing && !wasFailing {
		s.config.Logger.Info("replica fails its runs", "replica", replica, "rate", state.Failures.At(now))
	}
	work.retryAt = now.Add(failurePause)
	work.failures++
	if !isFailing {
		work.ownFailures++
	}
	attempts := s.itemAttempts(work)
	if work.ownFailures >= attempts || work.failures >= maxFailuresFactor*attempts {
		s.abandon(work, "it failed as often as its route allows")
	}
}
