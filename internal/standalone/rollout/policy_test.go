package rollout

import (
	"testing"

	v1 "github.com/pathtally/pathtally/api/v1"
)

func TestSamplesStartOnWeightsThatSuitTheTrainer(t *testing.T) {
	for prizes, want := range map[string]int64{v1.ObjectiveIdleTime: 7, v1.ObjectiveStaleness: 9} {
		trainer := &v1.Trainer{Spec: v1.TrainerSpec{MaxStaleness: 3, Objective: prizes}}
		if got := (samplePolicy{trainer: trainer}).oldestVersion(10); got != want {
			t.Errorf("prizes %s: starts on version %d and newer, want %d", prizes, got, want)
		}
	}
}

func TestLongestSamplesGoFirst(t *testing.T) {
	waiting := []prediction{{slot: 0, tokens: 10}, {slot: 1, tokens: 30, sample: 1}, {slot: 2, tokens: 30}, {slot: 3, tokens: 20}}
	samplePolicy{}.order(waiting)
	for place, want := range []uint32{2, 1, 3, 0} {
		if waiting[place].slot != want {
			t.Errorf("place %d has slot %d, want %d", place, waiting[place].slot, want)
		}
	}
}

func TestOlderStepsAreMoreUrgent(t *testing.T) {
	for place, want := range []int{20, 15, 10, 5, 1, 1} {
		if got := (samplePolicy{}).priority(place); got != want {
			t.Errorf("place %d has priority %d, want %d", place, got, want)
		}
	}
}
