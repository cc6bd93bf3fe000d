package statistics

import (
	"maps"
	"time"
)

const (
	// rememberedSteps is the number of steps of a trainer from which its period is computed.
	// It covers some minutes, so that the period is known during an overload, and is small
	// enough that a change of the trainer's settings takes effect.
	rememberedSteps = 64
	// maxStepGap is the maximum difference between the numbers of two steps in a row. A node
	// that missed more steps, or whose trainer skipped some, starts a new record.
	maxStepGap = 4
	// stepsInFlight is the number of steps that a trainer has in flight. Only these are
	// submitted again.
	stepsInFlight = 2
	// lagWindow is the time over which a lag is computed, and the longest time between two
	// steps of a trainer that runs. A longer pause is not a lag.
	lagWindow = 60 * time.Second
	// trainerRetention is how long the steps of a trainer are stored after its last one.
	trainerRetention = 5 * time.Minute
)

// Trainers records when the steps of the trainers are due, by model. Since all steps of a
// model have the same objective, due times differ as the times of acceptance do. Unlike
// those, they are known to a node that learns of a step long after its acceptance.
type Trainers struct {
	byModel map[string]*trainer
}

// trainer is the record of one trainer.
type trainer struct {
	// steps are the most recent steps, at least one, by number and due time.
	steps      []trainerStep
	observedAt time.Time
}

type trainerStep struct {
	number int64
	due    time.Time
}

// NewTrainers returns a Trainers without steps.
func NewTrainers() *Trainers { return &Trainers{byModel: map[string]*trainer{}} }

// Observe records when a step of a model is due. A step that is known, or was submitted again
// with its number, has no effect. An earlier number that is due after the latest step begins
// a new record, since the trainer started again.
func (t *Trainers) Observe(model string, number int64, due, now time.Time) {
	if model == "" || due.IsZero() {
		return
	}
	known := t.byModel[model]
	if known == nil {
		t.byModel[model] = &trainer{steps: []trainerStep{{number, due}}, observedAt: now}
		return
	}
	known.observedAt = now
	latest := known.latest()
	skipped := number - latest.number
	switch {
	case !due.After(latest.due), skipped <= 0 && skipped > -stepsInFlight:
		return
	case skipped < 0, skipped > maxStepGap, due.Sub(latest.due) > lagWindow:
		known.steps = known.steps[:0]
	case len(known.steps) == rememberedSteps:
		known.steps = append(known.steps[:0], known.steps[1:]...)
	}
	known.steps = append(known.steps, trainerStep{number, due})
}

// latest returns the latest step.
func (t *trainer) latest() trainerStep { return t.steps[len(t.steps)-1] }

// Period returns the period of a model's trainer, 0 if unknown: the shortest time between two
// successive steps. The time to a step after missing ones is divided evenly among them.
func (t *Trainers) Period(model string) time.Duration {
	known := t.byModel[model]
	if known == nil {
		return 0
	}
	return known.period()
}

func (t *trainer) period() time.Duration {
	shortest := time.Duration(0)
	for i, step := range t.steps[1:] {
		interval := step.due.Sub(t.steps[i].due) / time.Duration(step.number-t.steps[i].number)
		if shortest == 0 || interval < shortest {
			shortest = interval
		}
	}
	return shortest
}

// Lag returns how far the trainer of a model is behind its period: the time by which its
// steps of the last lagWindow took longer than their number of periods, and the time by which
// the next step is overdue. nextDue is when a step requested now would be due. The lag is 0
// if the period is unknown, and at most lagWindow.
func (t *Trainers) Lag(model string, nextDue time.Time) time.Duration {
	known := t.byModel[model]
	if known == nil {
		return 0
	}
	period := known.period()
	if period == 0 {
		return 0
	}
	latest := known.latest()
	first := latest
	for _, step := range known.steps {
		if latest.due.Sub(step.due) <= lagWindow {
			first = step
			break
		}
	}
	lag := latest.due.Sub(first.due) - time.Duration(latest.number-first.number)*period
	lag += max(0, nextDue.Sub(latest.due)-period)
	return min(lag, lagWindow)
}

// Evict removes the trainers whose retention has expired.
func (t *Trainers) Evict(now time.Time) {
	maps.DeleteFunc(t.byModel, func(_ string, known *trainer) bool { return now.Sub(known.observedAt) > trainerRetention })
}
