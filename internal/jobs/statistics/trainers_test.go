package statistics

import (
	"testing"
	"time"
)

// Guards against trainers that seem to be behind, or seem not to be, because a step was
// accepted again, the trainer started again, or steps were missed: their items would precede
// or follow those of others for no reason.
func TestTrainersPeriodAndLag(t *testing.T) {
	type observed struct {
		step int64
		due  time.Duration
	}
	const s = time.Second
	for _, test := range []struct {
		name     string
		observed []observed
		// now is the due time of a step requested now.
		now         time.Duration
		period, lag time.Duration
	}{
		{"one step", []observed{{0, 0}}, 9 * s, 0, 0},
		{"in time", []observed{{0, 0}, {1, 4 * s}, {2, 8 * s}}, 12 * s, 4 * s, 0},
		{"a delayed step", []observed{{0, 0}, {1, 4 * s}, {2, 9 * s}, {3, 13 * s}}, 14 * s, 4 * s, s},
		{"the next step is overdue", []observed{{0, 0}, {1, 4 * s}}, 11 * s, 4 * s, 3 * s},
		{"announced again with jitter", []observed{{0, 0}, {1, 4 * s}, {1, 4*s + 30*time.Millisecond}, {0, 5 * s}}, 8 * s, 4 * s, 0},
		{"step 0 accepted again after step 1", []observed{{0, 0}, {1, 4 * s}, {0, 6 * s}, {2, 10 * s}}, 10 * s, 4 * s, 2 * s},
		{"learnt late and out of order", []observed{{5, 0}, {7, 8 * s}, {6, 4 * s}, {8, 12 * s}}, 12 * s, 4 * s, 0},
		{"started again from step 0", []observed{{40, 0}, {41, 9 * s}, {0, 20 * s}, {1, 24 * s}, {41, 9 * s}, {2, 28 * s}}, 28 * s, 4 * s, 0},
		{"missed two steps", []observed{{0, 0}, {3, 12 * s}, {4, 16 * s}}, 16 * s, 4 * s, 0},
		{"missed two steps and was delayed", []observed{{0, 0}, {3, 14 * s}, {4, 18 * s}}, 18 * s, 4 * s, 2 * s},
		{"numbers jump", []observed{{0, 0}, {1, 4 * s}, {1000, 6 * s}, {1001, 10 * s}}, 10 * s, 4 * s, 0},
		{"paused", []observed{{0, 0}, {1, 4 * s}, {2, 400 * s}, {3, 404 * s}}, 404 * s, 4 * s, 0},
		{"bounded", []observed{{0, 0}, {1, 4 * s}}, 400 * s, 4 * s, lagWindow},
		{"no step numbers", []observed{{0, 0}, {0, 4 * s}, {0, 8 * s}}, 12 * s, 0, 0},
	} {
		trainers, start := NewTrainers(), time.Unix(1000, 0)
		for _, next := range test.observed {
			trainers.Observe("m", next.step, start.Add(next.due), start)
		}
		if got := trainers.Period("m"); got != test.period {
			t.Errorf("%s: period %s, want %s", test.name, got, test.period)
		}
		if got := trainers.Lag("m", start.Add(test.now)); got != test.lag {
			t.Errorf("%s: lag %s, want %s", test.name, got, test.lag)
		}
	}
}

// Guards against a record that grows without bound in a deployment that runs for weeks, and
// against a lag of long ago that a trainer can't make up.
func TestTrainersRetention(t *testing.T) {
	trainers, start, due := NewTrainers(), time.Unix(1000, 0), time.Unix(1000, 0)
	for step := range int64(3 * rememberedSteps) {
		due = due.Add(4 * time.Second)
		if step == rememberedSteps {
			due = due.Add(20 * time.Second)
		}
		trainers.Observe("m", step, due, start)
	}
	if known := trainers.byModel["m"]; len(known.steps) != rememberedSteps || trainers.Lag("m", due) != 0 {
		t.Errorf("%d steps are stored, lag %s", len(known.steps), trainers.Lag("m", due))
	}
	trainers.Evict(start.Add(trainerRetention + 1))
	if len(trainers.byModel) != 0 {
		t.Error("a trainer is stored after its retention")
	}
}
