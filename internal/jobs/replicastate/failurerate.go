package replicastate

import (
	"math"
	"time"
)

const (
	// newestRunWeight is the weight of the most recent run in a replica's failure rate.
	newestRunWeight = 0.25
	// failingRate is the rate from which a replica counts as failing. It is reached after two
	// consecutive failures, or if nearly half of the runs fail. Items that fail wherever they
	// run are one or two in a hundred.
	failingRate = 0.4
	// failureHalfLife is the half-life of the rate. The rate decays so that a replica that
	// gets no items is retried.
	failureHalfLife = 3 * time.Second
)

// FailureRate is a moving average of the fraction of the runs at a replica that the replica
// reports as failed, between 0 and 1. The zero value is the rate of a replica without
// failures.
type FailureRate struct {
	rate      float64
	updatedAt time.Time
}

// Observe records the outcome of a run.
func (f *FailureRate) Observe(failed bool, now time.Time) {
	rate := f.At(now) * (1 - newestRunWeight)
	if failed {
		rate += newestRunWeight
	}
	f.rate, f.updatedAt = rate, now
}

// At returns the decayed rate at the given time.
func (f *FailureRate) At(now time.Time) float64 {
	return f.rate * math.Exp2(-float64(now.Sub(f.updatedAt))/float64(failureHalfLife))
}

// IsFailing reports whether the rate is so high that the cause is likely the replica and not
// the items.
func (f *FailureRate) IsFailing(now time.Time) bool { return f.At(now) >= failingRate }
