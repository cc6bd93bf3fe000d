package rollout

import (
	"maps"
	"slices"

	"github.com/ansel1/merry/v2"

	"github.com/pathtally/pathtally/internal/environment"
	"github.com/pathtally/pathtally/internal/standalone/engineplan"
	"github.com/pathtally/pathtally/internal/wire"
)

// Scheduler fills the steps of one trainer under one fencing token. It is not
// safe for concurrent use: all calls must come from one goroutine.
type Scheduler struct {
	config    Config
	steps     map[uint64]*stepState
	predictor *LengthPredictor
	stopped   bool
	parked    []*attempt
	// reorder is set when new length observations may change the order of
	// pending slots.
	reorder  bool
	lastPlan *engineplan.TrainerPlan
	// lastStores are the usable stores at the last repair, by storeKey.
	lastStores map[string]bool
	timer      environment.Timer
}

// NewScheduler returns a scheduler without steps.
func NewScheduler(config Config) *Scheduler {
	return &Scheduler{config: config, steps: map[uint64]*stepState{}, predictor: NewLengthPredictor()}
}

// Start runs one tick and schedules the next.
func (s *Scheduler) Start() {
	if s.stopped {
		return
	}
	s.dispatchPending()
	s.checkTails()
	s.repair()
	s.timer = s.config.Clock.AfterFunc(tickInterval, s.Start)
}

// Stop cancels all attempts and fails waiting fetches with ErrStopped.
func (s *Scheduler) Stop() {
	if s.stopped {
		return
	}
	s.stopped = true
	for _, number := range s.stepNumbers() {
		step := s.steps[number]
		for _, running := range step.slots {
			s.cancelAttempts(running)
		}
		s.completeFetches(step, nil, merry.Wrap(ErrStopped))
	}
}

func (s *Scheduler) stepNumbers() []uint64 { return slices.Sorted(maps.Keys(s.steps)) }

// openSteps returns the unacknowledged steps, oldest first.
func (s *Scheduler) openSteps() []*stepState {
	var open []*stepState
	for _, number := range s.stepNumbers() {
		if !s.steps[number].acked {
			open = append(open, s.steps[number])
		}
	}
	return open
}

// Submit opens a step. It is idempotent for the same request.
func (s *Scheduler) Submit(request StepRequest) error {
	if s.stopped {
		return merry.Wrap(ErrStopped)
	}
	if !request.valid() {
		return merry.Wrap(ErrInvalidStep)
	}
	if existing := s.steps[request.Step]; existing != nil {
		if existing.digest != request.digest() {
			return merry.Wrap(ErrStepConflict)
		}
		return nil
	}
	plan := s.plan()
	if plan == nil || len(s.openSteps()) > plan.Trainer.Spec.StepsAhead {
		return merry.Wrap(ErrTooManySteps)
	}
	step := newStepState(request, s.config.Clock.Now())
	s.steps[request.Step] = step
	s.recover(step)
	return nil
}

// Fetch calls done with the sealed step once every sample is within the
// staleness bound of trainVersion, or with an error. The returned function
// cancels the wait.
func (s *Scheduler) Fetch(number uint64, trainVersion int64, done func([]byte, error)) (cancel func()) {
	step := s.steps[number]
	if s.stopped {
		done(nil, merry.Wrap(ErrStopped))
		return func() {}
	}
	if step == nil {
		done(nil, merry.Wrap(ErrUnknownStep))
		return func() {}
	}
	added := &waiter{trainVersion: max(trainVersion, step.request.TrainVersion), done: done}
	step.waiters = append(step.waiters, added)
	if step.phase == phaseSealed {
		s.deliver(step)
	}
	return func() {
		step.waiters = slices.DeleteFunc(step.waiters, func(other *waiter) bool { return other == added })
	}
}

// Acknowledge records that the trainer has consumed a step.
func (s *Scheduler) Acknowledge(number uint64) error {
	step := s.steps[number]
	if step == nil || step.phase != phaseSealed {
		return merry.Wrap(ErrUnknownStep)
	}
	step.acked = true
	acked := 0
	numbers := s.stepNumbers()
	for i := len(numbers) - 1; i >= 0; i-- {
		if !s.steps[numbers[i]].acked {
			continue
		}
		acked++
		if acked > maxRetainedAcked {
			delete(s.steps, numbers[i])
		}
	}
	s.dispatchPending()
	return nil
}

// completeFetches completes all waiting fetches of a step.
func (s *Scheduler) completeFetches(step *stepState, body []byte, err error) {
	waiters := step.waiters
	step.waiters = nil
	for _, waiting := range waiters {
		waiting.done(body, err)
	}
}

// plan returns the trainer and its engines, or the last known ones if the
// trainer is no longer declared.
func (s *Scheduler) plan() *engineplan.TrainerPlan {
	if current := s.config.Plan(); current != nil {
		s.lastPlan = current
	}
	return s.lastPlan
}

// policy returns the policy for the trainer's current specification.
func (s *Scheduler) policy() samplePolicy { return samplePolicy{trainer: s.plan().Trainer} }

// minVersion returns the lowest weight version allowed in a sample of a step.
func (s *Scheduler) minVersion(step *stepState) int64 {
	trainVersion := step.request.TrainVersion
	for _, waiting := range step.waiters {
		trainVersion = max(trainVersion, waiting.trainVersion)
	}
	return trainVersion - s.plan().Trainer.Spec.MaxStaleness
}

// requeue discards a slot's sample and makes the slot pending again after a
// delay.
func (s *Scheduler) requeue(target *slot) {
	if target.state == slotFilled {
		target.step.unfilled++
	}
	target.state = slotPending
	target.digest, target.oldestVersion, target.data = 0, 0, nil
	target.copies = map[string]bool{}
	target.notBefore = s.config.Clock.Now().Add(slotRetryDelay)
	target.step.pending = append(target.step.pending, target)
}

func (s *Scheduler) usableStores() []wire.Member { return s.config.Stores.Usable() }
