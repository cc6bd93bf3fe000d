package batch

import (
	"math"
	"slices"
	"time"
)

const (
	// failureWeight is the part of the newest run in a replica's failure rate, and
	// failingFrom from which rate on the replica counts as failing: after two
	// failures in a row, or where nearly half of its runs fail. Items that fail
	// wherever they run are one or two in a hundred.
	failureWeight = 0.25
	failingFrom   = 0.4
	// failureHalfLife is in which time a rate is forgotten by half, so that a
	// replica that gets no items is tried again: it counts as failing for some 4 s
	// after it has failed throughout.
	failureHalfLife = 3 * time.Second
	// failedAnswers is how many times the attempts of its route an item may fail
	// before it is given up, where the replicas are to blame. The platform forbids
	// a further run after three times as many.
	failedAnswers = 2
)

// failureRate is the part of the runs at a replica that it says have failed.
type failureRate struct {
	rate float64
	at   time.Time
}

// observe takes the outcome of a run.
func (f *failureRate) observe(failed bool, now time.Time) {
	rate := f.since(now) * (1 - failureWeight)
	if failed {
		rate += failureWeight
	}
	f.rate, f.at = rate, now
}

// since is the rate as it is believed at an instant.
func (f *failureRate) since(now time.Time) float64 {
	return f.rate * math.Exp2(-float64(now.Sub(f.at))/float64(failureHalfLife))
}

// failing tells whether the replica is to blame rather than its items.
func (f *failureRate) failing(now time.Time) bool { return f.since(now) >= failingFrom }

// noteFailure takes a replica's word that an item failed there, and gives the item
// up once that is certain to be the item's own. The mutex must be held.
func (s *Service) noteFailure(running *attempt, state *replicaState) {
	work, replica, now := running.item, running.endpoint.Name, time.Now()
	wasFailing := state.failures.failing(now)
	if !slices.Contains(work.failedAt, replica) {
		// An item that fails where it has failed before says nothing new of the
		// replica.
		state.failures.observe(true, now)
		work.failedAt = append(work.failedAt, replica)
	}
	isFailing := state.failures.failing(now)
	if isFailing && !wasFailing {
		s.config.Logger.Info("replica fails its runs", "replica", replica, "rate", state.failures.since(now))
	}
	work.notBefore = now.Add(failurePause)
	work.failures++
	if !isFailing {
		work.ownFailures++
	}
	attempts := s.itemAttempts(work)
	if work.ownFailures >= attempts || work.failures >= failedAnswers*attempts {
		s.abandon(work, "it failed as often as its route allows")
	}
}
