package rollout

import (
	"slices"

	v1 "github.com/pathtally/pathtally/api/v1"
)

const (
	// basePriority is the engine priority of a step that is not urgent. Engine
	// priorities start at 1.
	basePriority = 10
	minPriority  = 1
	// priorityStep is the priority difference between successive open steps.
	priorityStep = 5
	// urgentPrioritySteps is how many priority steps above basePriority the
	// oldest open step runs.
	urgentPrioritySteps = 2
	// maxLoadShare is the fraction of an engine's slots that samples may
	// occupy. The rest is reserved for live requests, and lower load speeds up
	// decoding.
	maxLoadShare = 0.8
	// freshVersionLag is how many weight versions the newest engine may lag
	// behind the version that a step trains: the previous step is still in
	// training.
	freshVersionLag = 1
)

// samplePolicy decides the order, priority and look-ahead of a trainer's
// samples.
type samplePolicy struct{ trainer *v1.Trainer }

// stepsAhead returns how many steps after the oldest open one may run.
func (p samplePolicy) stepsAhead() int { return p.trainer.Spec.StepsAhead }

// minStartVersion returns the lowest weight version of an engine that may
// start a sample of a step that trains trainVersion. With the staleness
// objective, samples wait for engines with the newest available weights.
func (p samplePolicy) minStartVersion(trainVersion int64) int64 {
	if p.trainer.Spec.Objective == v1.ObjectiveStaleness {
		return trainVersion - freshVersionLag
	}
	return trainVersion - p.trainer.Spec.MaxStaleness
}

// sort sorts pending slots in dispatch order: longest predicted sample first;
// ties go to the sample with the lower index within its prompt.
func (p samplePolicy) sort(slots []prediction) {
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

// priority returns the engine priority of the open step at the given position;
// position 0 is the oldest.
func (p samplePolicy) priority(position int) int {
	return max(minPriority, basePriority+(urgentPrioritySteps-position)*priorityStep)
}
