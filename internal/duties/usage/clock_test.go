package usage

import (
	"testing"
	"time"

	"k8s.io/klog/v2"
)

// clockAt returns a clock that starts at 1,000,000 s since the Unix epoch, and the reading of
// the monotonic clock at its start.
func clockAt() (*Clock, time.Time) {
	start := time.Now()
	return newClockAt(start, time.Unix(1_000_000, 0), klog.Background()), start
}

func TestStepsOfTheTimeOfDayDoNotMoveTheClock(t *testing.T) {
	for _, step := range []time.Duration{2 * time.Second, -5 * time.Second} {
		clock, start := clockAt()
		for second := range 20 {
			passed := time.Duration(second) * time.Second
			timeOfDay := time.Unix(1_000_000, 0).Add(passed)
			if second >= 5 && second < 15 {
				timeOfDay = timeOfDay.Add(step)
			}
			clock.SyncToWallClock(start.Add(passed), timeOfDay)
			if got := clock.Unix(start.Add(passed)) - 1_000_000*time.Second; got != passed {
				t.Fatalf("step of %s: %s after %s", step, got, passed)
			}
		}
	}
}

func TestAStepThatLastsIsFollowed(t *testing.T) {
	clock, start := clockAt()
	const step = 3 * time.Second
	for second := range 120 {
		passed := time.Duration(second) * time.Second
		clock.SyncToWallClock(start.Add(passed), time.Unix(1_000_000, 0).Add(passed+step))
	}
	if got := clock.Unix(start) - 1_000_000*time.Second; got != step {
		t.Errorf("moved by %s, want %s", got, step)
	}
}

func TestTheClockFollowsTheTimeOfDayAsItIsKeptRight(t *testing.T) {
	clock, start := clockAt()
	for second := range 200 {
		passed := time.Duration(second) * time.Second
		// The monotonic clock is too slow by 0.2 %.
		clock.SyncToWallClock(start.Add(passed), time.Unix(1_000_000, 0).Add(passed+passed/500))
	}
	behind := 200*time.Second/500 - (clock.Unix(start) - 1_000_000*time.Second)
	if behind.Abs() > 10*time.Millisecond {
		t.Errorf("%s behind", behind)
	}
}

func TestMostPeersGoBeforeTheTimeOfDayAtTheStart(t *testing.T) {
	for _, test := range []struct {
		name    string
		offsets []time.Duration
		want    time.Duration
	}{
		{"too few", []time.Duration{2 * time.Second, 2 * time.Second}, 0},
		{"one is off", []time.Duration{0, 4 * time.Millisecond, 2 * time.Second}, 0},
		{"most differ", []time.Duration{2001 * time.Millisecond, 2 * time.Second, 0}, 2 * time.Second},
	} {
		clock, start := clockAt()
		for number, offset := range test.offsets {
			clock.ObservePeer(string(rune('a'+number)), offset, start)
		}
		if got := clock.Unix(start) - 1_000_000*time.Second; got != test.want {
			t.Errorf("%s: moved by %s, want %s", test.name, got, test.want)
		}
	}
}
