package rollout

import (
	"encoding/json"
	"slices"

	"github.com/pathtally/pathtally/internal/standalone/request"
	"github.com/pathtally/pathtally/internal/standalone/stream"
)

// checkStaleness abandons an attempt whose oldest token is already too stale
// for the step, which saves generating the rest.
func (s *Scheduler) checkStaleness(running *attempt) {
	oldest := stream.LowestVersion(running.machine.Segments())
	if oldest >= s.minVersion(running.slot.step) {
		return
	}
	s.abandon(running)
}

// abandon ends an attempt without a result and requeues its slot if no other
// attempt is running.
func (s *Scheduler) abandon(running *attempt) {
	s.cancelAttempt(running)
	if len(running.slot.attempts) == 0 && running.slot.state == slotRunning {
		s.requeue(running.slot)
	}
}

func (s *Scheduler) cancelAttempt(running *attempt) {
	running.ended = true
	if running.cancel != nil {
		running.cancel()
	}
	running.slot.attempts = slices.DeleteFunc(running.slot.attempts, func(other *attempt) bool { return other == running })
}

func (s *Scheduler) cancelAttempts(target *slot) {
	for _, running := range slices.Clone(target.attempts) {
		s.cancelAttempt(running)
	}
}

// handleResult processes the result of an attempt. A complete sample goes to
// the scorer; otherwise the slot is retried.
func (s *Scheduler) handleResult(running *attempt, result request.Result) {
	target := running.slot
	if !result.Succeeded() {
		s.abandon(running)
		return
	}
	s.cancelAttempt(running)
	s.cancelAttempts(target)
	if target.state != slotRunning {
		return
	}
	s.predictor.Observe(target.prompt, result.Tokens)
	s.reorder = true
	target.step.durations = append(target.step.durations, s.config.Clock.Now().Sub(running.started))
	if stream.LowestVersion(result.Segments) < s.minVersion(target.step) {
		s.requeue(target)
		return
	}
	sample := Sample{
		Trainer:      s.config.Trainer,
		Step:         target.step.request.Step,
		Slot:         target.index,
		Prompt:       target.prompt,
		Text:         result.Text,
		Tokens:       result.Tokens,
		FinishReason: result.Reason,
		Segments:     result.Segments,
	}
	s.score(target, sample)
	s.dispatchPending()
}

// score has a sample scored, with retries until the scorer succeeds.
func (s *Scheduler) score(target *slot, sample Sample) {
	target.state = slotScoring
	data, err := json.Marshal(sample)
	if err != nil {
		s.logEncodeFailure(err, target)
		s.requeue(target)
		return
	}
	plan := s.plan()
	s.config.Scorer.Score(plan.Trainer.Spec.Scorer, data, func(score float64, err error) {
		if s.stopped || target.state != slotScoring {
			return
		}
		if err != nil {
			s.runAfter(slotRetryDelay, func() {
				if target.state == slotScoring {
					s.score(target, sample)
				}
			})
			return
		}
		sample.Score = score
		s.storeSample(target, sample)
	})
}
