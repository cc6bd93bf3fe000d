package placement

import "time"

// StepGroup is a view of a group of a step that has unfinished items.
type StepGroup struct {
	// RemainingEvents is the largest expected number of remaining events of its items.
	RemainingEvents int
	// Inherited is Rank.Inherited of its items.
	Inherited bool
}

// Step is a view of a step, a job of a trainer, as a whole.
type Step struct {
	TimeLeft time.Duration
	// Desired is the number of complete groups that the trainer waits for.
	Desired int
	// Complete is the number of complete groups.
	Complete int
	// Unfinished are the other groups.
	Unfinished []StepGroup
}

// CanBeInTime reports whether the step can have the groups that its trainer waits for by its
// deadline, if all unfinished items ran at the fastest replica from now on and their texts
// were shorter than expected by lengthErrorFactor. It is true if no pace is known.
// deadlineTolerance covers the time after the deadline at which groups still count.
func (p Paces) CanBeInTime(step Step) bool {
	possible := step.Complete
	for _, group := range step.Unfinished {
		switch {
		case float64(group.RemainingEvents)*float64(p.fastQuarter)/lengthErrorFactor <= float64(step.TimeLeft+deadlineTolerance):
			possible++
		case group.Inherited:
			return false
		}
	}
	return possible >= step.Desired
}

// IsLongTextAtRisk reports whether a text of the given length that starts now at the fastest
// replica has less than riskSlack left at its end. It is false if timeLeft is not positive.
func (p Paces) IsLongTextAtRisk(events int, timeLeft time.Duration) bool {
	return timeLeft > 0 && timeLeft-time.Duration(events)*p.fastQuarter < riskSlack
}

// FastInterval returns the usual interval that a quarter of the replicas reach, 0 if too few are
// known. The shortest one may be an error of its average.
func (p Paces) FastInterval() time.Duration { return p.fastQuarter }
