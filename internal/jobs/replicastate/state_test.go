package replicastate

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/pathtally/pathtally/internal/jobs/placement"
)

// Guards against retrying an unavailable replica at a constant rate.
func TestBlockBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const firstBlock = 80 * time.Millisecond
		state := &State{}
		attempts := 0
		for began := time.Now(); time.Since(began) < 10*time.Second; time.Sleep(10 * time.Millisecond) {
			if time.Now().Before(state.BlockedUntil) {
				continue
			}
			attempts++
			for range 6 {
				state.Block(firstBlock)
			}
		}
		if attempts < 10 || attempts > 16 {
			t.Errorf("%d attempts in ten seconds, want 10 to 16", attempts)
		}
		state.Blocks = 0
		time.Sleep(MaxBlock)
		state.Block(firstBlock)
		if left := time.Until(state.BlockedUntil); left != firstBlock {
			t.Errorf("after a reset, the replica is blocked for %s", left)
		}
	})
}

func TestFailureRateIsFailing(t *testing.T) {
	start := time.Now()
	for _, test := range []struct {
		name string
		// runs are outcomes 100 ms apart, F for a failure.
		runs string
		// after is the time from the last run until the check.
		after time.Duration
		want  bool
	}{
		{"none", "", 0, false},
		{"one failure", "....F", 0, false},
		{"two consecutive", "....FF", 0, true},
		{"one in ten", "F.........F.........F", 0, false},
		{"half", "F.F.F.F.F.F.F.F", 0, true},
		{"all, decayed", "FFFFFFFFFFFF", 5 * time.Second, false},
		{"all, not yet decayed", "FFFFFFFFFFFF", 2 * time.Second, true},
		{"all, then successes", "FFFFFFFF.....", 0, false},
	} {
		var failures FailureRate
		now := start
		for _, run := range test.runs {
			now = now.Add(100 * time.Millisecond)
			failures.Observe(run == 'F', now)
		}
		if got := failures.IsFailing(now.Add(test.after)); got != test.want {
			t.Errorf("%s: failing %v, want %v", test.name, got, test.want)
		}
	}
}

// Guards against moving runs away from a replica because of an outdated slow pace.
func TestObserveDiscardsOldPace(t *testing.T) {
	now := time.Now()
	state := &State{Pace: placement.NewPace(140 * time.Millisecond), ObservedAt: now, Running: 1}
	state.Observe(50*time.Millisecond, now.Add(time.Second))
	if got := state.Pace.Interval(); got < 130*time.Millisecond {
		t.Errorf("interval %s after one event a second later", got)
	}
	for number := range 6 {
		state.Observe(50*time.Millisecond, now.Add(2*FreshPaceAge+time.Duration(number)*50*time.Millisecond))
	}
	if got := state.Pace.Interval(); got != 50*time.Millisecond {
		t.Errorf("interval %s after six events once the old pace has expired", got)
	}
}
