package placement

import (
	"testing"
	"time"
)

// Guards against a single delayed interval of all runs at a replica making it look slow.
func TestPaceIndependentOfRunCount(t *testing.T) {
	const usual = 50 * time.Millisecond
	for _, runs := range []int{1, 8} {
		var pace Pace
		round := func(interval time.Duration) {
			for range runs {
				pace.Observe(interval, runs)
			}
		}
		for range 20 {
			round(usual)
		}
		round(2 * usual)
		if float64(pace.Interval()) > minMoveRatio*float64(usual) {
			t.Errorf("%d runs: interval %s after one interval twice as long", runs, pace.Interval())
		}
		for range 40 {
			round(usual)
		}
		spent := time.Duration(0)
		for ; float64(pace.Interval()) < slowRatio*float64(usual); spent += 3 * usual {
			round(3 * usual)
		}
		if spent > time.Second {
			t.Errorf("%d runs: a replica that is three times slower was detected only after %s", runs, spent)
		}
	}
}

func TestPaceUnknownUntilObserved(t *testing.T) {
	var pace Pace
	for range 16 {
		pace.Observe(90*time.Millisecond, 8)
	}
	if got := pace.Interval(); got != 0 {
		t.Errorf("interval %s after two events of each run, want unknown", got)
	}
	for range 80 {
		pace.Observe(50*time.Millisecond, 8)
	}
	if got := pace.Interval(); got < 50*time.Millisecond || got > 65*time.Millisecond {
		t.Errorf("interval %s after ten more events of each run", got)
	}
}
