package replicastate

import (
	"math"
	"time"
)

const (
	// newestRunWeight is the weight of the newest run in a replica's failure rate.
	newestRunWeight = 0.25
	// failingRate is the rate from which a replica counts as failing: after two failures
	// in a row, or where nearly half of its runs fail. Items that fail wherever they run
	// are one or two in a hundred.
	failingRate = 0.4
	// failureHalfLife is the time in which a rate falls by half, so that a replica that
	// gets no items is tried again.
	failureHalfLife = 3 * time.Second
)

// FailureRate is the share of the runs at a replica that it says have failed, between 0
// and 1. The zero value is that of a replica without failures.
type FailureRate struct {
	rate       float64
	observedAt time.Time
}

// Observe records the outcome of a run.
func (f *FailureRate) Observe(failed bool, now time.Time) {
	rate := f.At(now) * (1 - newestRunWeight)
	if failed {
		rate += newestRunWeight
	}
	f.rate, f.observedAt = rate, now
}

// At is the rate as it has decayed at an instant.
func (f *FailureRate) At(now time.Time) float64 {
	return f.rate * math.Exp2(-float64(now.Sub(f.observedAt))/float64(failureHalfLife))
}

// IsFailing tells whether the replica is to blame rather than its items.
func (f *FailureRate) IsFailing(now time.Time) bool { return f.At(now) >= failingRate }
