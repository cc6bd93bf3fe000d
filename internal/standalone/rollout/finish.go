package rollout

import (
	"encoding/json"
	"slices"

	"github.com/pathtally/pathtally/internal/standalone/request"
	"github.com/pathtally/pathtally/internal/standalone/stream"
)

// checkAge gives up a sample whose first tokens are already too old for the
// step, instead of generating the rest in vain.
func (s *Scheduler) checkAge(running *attempt) {
	oldest := stream.LowestVersion(running.machine.Segments())
	if oldest >= s.bound(running.slot.step) {
		return
	}
	s.abandon(running)
}

// abandon ends an attempt without a result and has its slot tried again.
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
	running.slot.attempts = slices.DeleteFunc(running.slot.attempts, func(held *attempt) bool { return held == running })
}

func (s *Scheduler) cancelAttempts(ended *slot) {
	for _, running := range slices.Clone(ended.attempts) {
		s.cancelAttempt(running)
	}
}

// finished takes in the result of an attempt.
func (s *Scheduler) finished(running *attempt, result request.Result) {
	filled := running.slot
	if !result.Succeeded() {
		s.abandon(running)
		return
	}
	s.cancelAttempt(running)
	s.cancelAttempts(filled)
	if filled.state != slotRunning {
		return
	}
	s.predictor.Observe(filled.prompt, result.Tokens)
	s.reorder = true
	filled.step.durations = append(filled.step.durations, s.config.Clock.Now().Sub(running.started))
	if stream.LowestVersion(result.Segments) < s.bound(filled.step) {
		s.requeue(filled)
		return
	}
	sample := Sample{
		Trainer:  s.config.Trainer,
		Step:     filled.step.request.Step,
		Slot:     filled.index,
		Prompt:   filled.prompt,
		Text:     result.Text,
		Tokens:   result.Tokens,
		Reason:   result.Reason,
		Segments: result.Segments,
	}
	s.score(filled, sample)
	s.pump()
}

// score has a sample judged, as often as it takes.
func (s *Scheduler) score(filled *slot, sample Sample) {
	filled.state = slotScoring
	data, err := json.Marshal(sample)
	if err != nil {
		s.logNotEncoded(err, filled)
		s.requeue(filled)
		return
	}
	plan := s.plan()
	s.config.Scorer.Score(plan.Trainer.Spec.Scorer, data, func(score float64, err error) {
		if s.stopped || filled.state != slotScoring {
			return
		}
		if err != nil {
			s.later(slotRetry, func() {
				if filled.state == slotScoring {
					s.score(filled, sample)
				}
			})
			return
		}
		sample.Score = score
		s.keep(filled, sample)
	})
}
