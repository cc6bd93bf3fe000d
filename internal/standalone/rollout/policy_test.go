package rollout

import (
	"testing"

	v1 "github.com/pathtally/pathtally/api/v1"
)

func TestMinStartVersionByObjective(t *testing.T) {
	for objective, want := range map[string]int64{v1.ObjectiveIdleTime: 7, v1.ObjectiveStaleness: 9} {
		trainer := &v1.Trainer{Spec: v1.TrainerSpec{MaxStaleness: 3, Objective: objective}}
		if got := (samplePolicy{trainer: trainer}).minStartVersion(10); got != want {
			t.Errorf("objective %s: minimum start version %d, want %d", objective, got, want)
		}
	}
}

func TestSortPutsLongestSamplesFirst(t *testing.T) {
	waiting := []prediction{{slot: 0, tokens: 10}, {slot: 1, tokens: 30, sample: 1}, {slot: 2, tokens: 30}, {slot: 3, tokens: 20}}
	samplePolicy{}.sort(waiting)
	for position, want := range []uint32{2, 1, 3, 0} {
		if waiting[position].slot != want {
			t.Errorf("position %d has slot %d, want %d", position, waiting[position].slot, want)
		}
	}
}

func TestOlderStepsGetHigherPriority(t *testing.T) {
	for position, want := range []int{20, 15, 10, 5, 1, 1} {
		if got := (samplePolicy{}).priority(position); got != want {
			t.Errorf("position %d has priority %d, want %d", position, got, want)
		}
	}
}
