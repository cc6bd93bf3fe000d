package usage

import (
	"testing"
	"time"

	"k8s.io/klog/v2"
)

// newTestClock returns a clock that starts at 1,000,000 s since the Unix epoch, and the
// reading of the monotonic clock at its start.
func newTestClock() (*Clock, time.Time) {
	start := time.Now()
	return newClockAt(start, time.Unix(1_000_000, 0), klog.Background()), start
}

// A temporary step of the wall clock must not assign requests to wrong windows.
func TestClockIgnoresWallClockSteps(t *testing.T) {
	for _, step := range []time.Duration{2 * time.Second, -5 * time.Second} {
		clock, start := newTestClock()
		for second := range 20 {
			passed := time.Duration(second) * time.Second
			wallClock := time.Unix(1_000_000, 0).Add(passed)
			if second >= 5 && second < 15 {
				wallClock = wallClock.Add(step)
			}
			clock.SyncToWallClock(start.Add(passed), wallClock)
			if got := clock.Unix(start.Add(passed)) - 1_000_000*time.Second; got != passed {
				t.Fatalf("step of %s: clock advanced by %s in %s", step, got, passed)
			}
		}
	}
}

// A wall clock that was wrong at the start and has been corrected must be followed.
func TestClockAdoptsLastingStep(t *testing.T) {
	clock, start := newTestClock()
	const step = 3 * time.Second
	for second := range 120 {
		passed := time.Duration(second) * time.Second
		clock.SyncToWallClock(start.Add(passed), time.Unix(1_000_000, 0).Add(passed+step))
	}
	if got := clock.Unix(start) - 1_000_000*time.Second; got != step {
		t.Errorf("clock moved by %s, want %s", got, step)
	}
}

// Drift of the monotonic clock must not add up.
func TestClockSlewsToWallClock(t *testing.T) {
	clock, start := newTestClock()
	for second := range 200 {
		passed := time.Duration(second) * time.Second
		// The monotonic clock is too slow by 0.2 %.
		clock.SyncToWallClock(start.Add(passed), time.Unix(1_000_000, 0).Add(passed+passed/500))
	}
	behind := 200*time.Second/500 - (clock.Unix(start) - 1_000_000*time.Second)
	if behind.Abs() > 10*time.Millisecond {
		t.Errorf("clock is %s behind the wall clock", behind)
	}
}

// A node whose wall clock was wrong at the start must follow its peers, unless only a
// minority of them differs.
func TestClockAdoptsMedianOfPeers(t *testing.T) {
	for _, test := range []struct {
		name    string
		offsets []time.Duration
		want    time.Duration
	}{
		{"too few peers", []time.Duration{2 * time.Second, 2 * time.Second}, 0},
		{"one peer differs", []time.Duration{0, 4 * time.Millisecond, 2 * time.Second}, 0},
		{"most peers differ", []time.Duration{2001 * time.Millisecond, 2 * time.Second, 0}, 2 * time.Second},
	} {
		clock, start := newTestClock()
		for number, offset := range test.offsets {
			clock.ObservePeer(string(rune('a'+number)), offset, start)
		}
		if got := clock.Unix(start) - 1_000_000*time.Second; got != test.want {
			t.Errorf("%s: clock moved by %s, want %s", test.name, got, test.want)
		}
	}
}
