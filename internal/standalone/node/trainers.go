package node

import (
	"github.com/ansel1/merry/v2"

	"github.com/pathtally/pathtally/internal/standalone/rollout"
)

// scheduler finds the scheduler of a trainer here, or tells who has it.
func (c *Core) scheduler(trainer string) (*rollout.Scheduler, error) {
	if c.set == nil {
		return nil, merry.Wrap(ErrNotReady)
	}
	if c.trainerPlan(trainer) == nil {
		return nil, merry.Wrap(ErrUnknownTrainer)
	}
	name := schedulerLease(trainer)
	if scheduler := c.schedulers[name]; scheduler != nil {
		return scheduler, nil
	}
	note, known := c.table.Lease(name)
	if !known || note.Holder == c.config.Self.ID {
		return nil, merry.Wrap(ErrNoScheduler)
	}
	holder, found := c.table.Get(note.Holder)
	if !found {
		return nil, merry.Wrap(ErrNoScheduler)
	}
	return nil, &RedirectError{Address: holder.HTTP}
}

// SubmitStep opens a step of a trainer.
func (c *Core) SubmitStep(trainer string, request rollout.StepRequest) error {
	scheduler, err := c.scheduler(trainer)
	if err != nil {
		return err
	}
	return scheduler.Submit(request)
}

// FetchStep waits for a step; see rollout.Scheduler.Fetch.
func (c *Core) FetchStep(trainer string, step uint64, trainVersion int64, done func([]byte, error)) (cancel func()) {
	scheduler, err := c.scheduler(trainer)
	if err != nil {
		done(nil, err)
		return func() {}
	}
	return scheduler.Fetch(step, trainVersion, done)
}

// AcknowledgeStep tells that the trainer has taken a step in.
func (c *Core) AcknowledgeStep(trainer string, step uint64) error {
	scheduler, err := c.scheduler(trainer)
	if err != nil {
		return err
	}
	return scheduler.Acknowledge(step)
}
