package rollout

import (
	"maps"
	"slices"

	"github.com/ansel1/merry/v2"

	"github.com/pathtally/pathtally/internal/environment"
	"github.com/pathtally/pathtally/internal/standalone/engineplan"
	"github.com/pathtally/pathtally/internal/wire"
)

// Scheduler fills the steps of one trainer under one fencing token. It
// belongs to one goroutine.
type Scheduler struct {
	config    Config
	steps     map[uint64]*stepState
	predictor *Predictor
	stopped   bool
	parked    []*attempt
	// reorder is set when what is known of the waiting samples has changed.
	reorder  bool
	lastPlan *engineplan.TrainerPlan
	// lastStores are the stores at the last repair, by copyName.
	lastStores map[string]bool
	timer      environment.Timer
}

// NewScheduler returns a scheduler without steps.
func NewScheduler(config Config) *Scheduler {
	return &Scheduler{config: config, steps: map[uint64]*stepState{}, predictor: NewPredictor()}
}

// Start begins the periodic work.
func (s *Scheduler) Start() {
	if s.stopped {
		return
	}
	s.pump()
	s.watchTails()
	s.repair()
	s.timer = s.config.Clock.AfterFunc(pumpPeriod, s.Start)
}

// Stop cancels all attempts and tells waiting trainers to look elsewhere.
func (s *Scheduler) Stop() {
	if s.stopped {
		return
	}
	s.stopped = true
	for _, number := range s.numbers() {
		step := s.steps[number]
		for _, running := range step.slots {
			s.cancelAttempts(running)
		}
		s.answer(step, nil, merry.Wrap(ErrStopped))
	}
}

func (s *Scheduler) numbers() []uint64 { return slices.Sorted(maps.Keys(s.steps)) }

// openSteps returns the steps not acknowledged, oldest first.
func (s *Scheduler) openSteps() []*stepState {
	var open []*stepState
	for _, number := range s.numbers() {
		if !s.steps[number].acked {
			open = append(open, s.steps[number])
		}
	}
	return open
}

// Submit opens a step. The same submission again changes nothing.
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

// Fetch calls done with the sealed step, once it is there and every sample is
// within the bound of the version that the trainer will train. The function
// returned ends the wait.
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
		s.handOver(step)
	}
	return func() {
		step.waiters = slices.DeleteFunc(step.waiters, func(held *waiter) bool { return held == added })
	}
}

// Acknowledge tells that the trainer has taken a step in.
func (s *Scheduler) Acknowledge(number uint64) error {
	step := s.steps[number]
	if step == nil || step.phase != phaseSealed {
		return merry.Wrap(ErrUnknownStep)
	}
	step.acked = true
	acked := 0
	numbers := s.numbers()
	for i := len(numbers) - 1; i >= 0; i-- {
		if !s.steps[numbers[i]].acked {
			continue
		}
		acked++
		if acked > keptAcked {
			delete(s.steps, numbers[i])
		}
	}
	s.pump()
	return nil
}

// answer ends all waits for a step.
func (s *Scheduler) answer(step *stepState, body []byte, err error) {
	waiters := step.waiters
	step.waiters = nil
	for _, waiting := range waiters {
		waiting.done(body, err)
	}
}

// plan returns the trainer and its engines; while the trainer is not declared
// any more, those last known.
func (s *Scheduler) plan() *engineplan.TrainerPlan {
	if current := s.config.Plan(); current != nil {
		s.lastPlan = current
	}
	return s.lastPlan
}

// policy returns the policy for the trainer as it is declared now.
func (s *Scheduler) policy() samplePolicy { return samplePolicy{trainer: s.plan().Trainer} }

// bound is the least version allowed in a sample of a step.
func (s *Scheduler) bound(step *stepState) int64 {
	oldest := step.request.TrainVersion
	for _, waiting := range step.waiters {
		oldest = max(oldest, waiting.trainVersion)
	}
	return oldest - s.plan().Trainer.Spec.MaxStaleness
}

// requeue puts a slot back among those that wait for an attempt.
func (s *Scheduler) requeue(returned *slot) {
	if returned.state == slotFilled {
		returned.step.unfilled++
	}
	returned.state = slotPending
	returned.digest, returned.oldest, returned.data = 0, 0, nil
	returned.copies = map[string]bool{}
	returned.notBefore = s.config.Clock.Now().Add(slotRetry)
	returned.step.pending = append(returned.step.pending, returned)
}

// usableStores returns the stores for a slot, those of different zones first.
func (s *Scheduler) usableStores() []wire.Member { return s.config.Stores.Usable() }
