package watchcache

import (
	"testing"
	"time"
)

func TestTimingOf(t *testing.T) {
	for _, test := range []struct {
		name  string
		input timingInput
		want  pollTiming
	}{
		{"normal", timingInput{listed: true}, pollTiming{400 * time.Millisecond, 750 * time.Millisecond}},
		{"normal in a tree", timingInput{listed: true, inTree: true}, pollTiming{400 * time.Millisecond, 750 * time.Millisecond}},
		{"first listing", timingInput{}, pollTiming{400 * time.Millisecond, 750 * time.Millisecond}},
		{"first listing in a tree", timingInput{inTree: true, lastSilent: true, suspect: true}, pollTiming{400 * time.Millisecond, 2900 * time.Millisecond}},
		{"after a silent node", timingInput{listed: true, lastSilent: true}, pollTiming{400 * time.Millisecond, 750 * time.Millisecond}},
		{"after a silent node in a tree", timingInput{listed: true, inTree: true, lastSilent: true, suspect: true}, pollTiming{150 * time.Millisecond, 350 * time.Millisecond}},
		{"after an unsure node", timingInput{listed: true, lastSilent: true, suspect: true}, pollTiming{150 * time.Millisecond, 750 * time.Millisecond}},
		{"after an unsure node in a tree", timingInput{listed: true, inTree: true, suspect: true}, pollTiming{150 * time.Millisecond, 750 * time.Millisecond}},
	} {
		if got := timingOf(test.input); got != test.want {
			t.Errorf("%s: timing %+v, want %+v", test.name, got, test.want)
		}
	}
}

func TestPauseAfter(t *testing.T) {
	for _, test := range []struct {
		name   string
		result pollResult
		inTree bool
		want   time.Duration
	}{
		{"no changes", pollResult{outcome: outcomeCurrent}, true, 0},
		{"small area", pollResult{outcome: outcomeCurrent, applyTime: time.Second}, false, 0},
		{"not current", pollResult{outcome: outcomeUnsure, applyTime: time.Second}, true, 0},
		{"few changes", pollResult{outcome: outcomeCurrent, applyTime: 1}, true, 150 * time.Millisecond},
		{"many changes", pollResult{outcome: outcomeCurrent, applyTime: 50 * time.Millisecond}, true, 200 * time.Millisecond},
		{"a listing", pollResult{outcome: outcomeCurrent, applyTime: time.Second}, true, 400 * time.Millisecond},
	} {
		if got := pauseAfter(test.result, test.inTree); got != test.want {
			t.Errorf("%s: pause %s, want %s", test.name, got, test.want)
		}
	}
}
