package rollout

import (
	"slices"

	v1 "github.com/pathtally/pathtally/api/v1"
)

const (
	// basePriority is the engine priority of the samples of a step that is
	// not urgent. Engines take values of 1 and more.
	basePriority = 10
	minPriority  = 1
	// priorityStep is between two successive open steps.
	priorityStep = 5
	// urgentSteps is how many priority steps above the base the oldest open
	// step runs.
	urgentSteps = 2
	// maxLoadShare is the part of an engine's slots that samples may fill. The
	// rest is left to live callers, and every sample decodes faster.
	maxLoadShare = 0.8
	// freshLag is how many weight versions behind the one that a step trains
	// the newest engine can be: the step before is still being trained.
	freshLag = 1
)

// samplePolicy decides the order, urgency and look-ahead of a trainer's samples.
type samplePolicy struct{ trainer *v1.Trainer }

// stepsAhead returns how many steps beyond the oldest open one may run.
func (p samplePolicy) stepsAhead() int { return p.trainer.Spec.StepsAhead }

// oldestVersion returns the least weight version of an engine that may start a
// sample of a step that trains trainVersion. A trainer that prizes low
// staleness waits for engines with the newest weights there can be.
func (p samplePolicy) oldestVersion(trainVersion int64) int64 {
	if p.trainer.Spec.Objective == v1.ObjectiveStaleness {
		return trainVersion - freshLag
	}
	return trainVersion - p.trainer.Spec.MaxStaleness
}

// order sorts slots that wait for dispatch, the first to go first: the longest
// expected, and among equals the first samples of their prompts.
func (p samplePolicy) order(slots []prediction) {
	slices.SortStableFunc(slots, func(a, b prediction) int {
		if a.tokens > b.tokens {
			return -1
		}
		if a.tokens < b.tokens {
			return 1
		}
		return a.sample - b.sample
	})
}

// priority returns the engine priority of the samples of an open step; place 0
// is the oldest open step.
func (p samplePolicy) priority(place int) int {
	return max(minPriority, basePriority+(urgentSteps-place)*priorityStep)
}
