package rollout

import "github.com/ansel1/merry/v2"

// Errors returned to trainers.
var (
	// ErrUnknownStep means that the step is unknown here and must be submitted.
	ErrUnknownStep = merry.Sentinel("step unknown here; submit it again")
	// ErrStepConflict means that the step was submitted with other content.
	ErrStepConflict = merry.Sentinel("step was submitted with other content")
	// ErrTooManySteps means that too many steps are open.
	ErrTooManySteps = merry.Sentinel("too many open steps; acknowledge one first")
	// ErrInvalidStep means that a required field of the submission is missing or not positive.
	ErrInvalidStep = merry.Sentinel("a step needs prompts, samples per prompt, tokens and a train version above 0")
	// ErrStopped means that this node no longer schedules for the trainer.
	ErrStopped = merry.Sentinel("this node no longer schedules for the trainer")
	// ErrSampleLost means that no reachable store returned a sample of a decided
	// manifest.
	ErrSampleLost = merry.Sentinel("no store holds a sample of the manifest")
)
