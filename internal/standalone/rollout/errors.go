package rollout

import "github.com/ansel1/merry/v2"

// Errors that a trainer can get.
var (
	// ErrUnknownStep means that the step has to be submitted (again).
	ErrUnknownStep = merry.Sentinel("step unknown here; submit it again")
	// ErrStepConflict means that the step was submitted with other content.
	ErrStepConflict = merry.Sentinel("step was submitted with other content")
	// ErrTooManySteps means that too many steps are open.
	ErrTooManySteps = merry.Sentinel("too many open steps; acknowledge one first")
	// ErrInvalidStep means that the submission makes no sense.
	ErrInvalidStep = merry.Sentinel("a step needs prompts, samples per prompt, tokens and a train version above 0")
	// ErrStopped means that this node no longer schedules for the trainer.
	ErrStopped = merry.Sentinel("this node no longer schedules for the trainer")
	// ErrSampleLost means that no store holds a sample of a sealed manifest.
	ErrSampleLost = merry.Sentinel("no store holds a sample of the manifest")
)
