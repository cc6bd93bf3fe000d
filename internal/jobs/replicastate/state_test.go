package replicastate

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/pathtally/pathtally/internal/jobs/placement"
	"github.com/pathtally/pathtally/internal/wire"
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

// Guards against owners that know the speed and the load of a replica only from their own runs:
// a new owner has none.
func TestHeartbeatsCarryUsualIntervalsAndExpectedEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sender, receiver := NewTable(), NewTable()
		state := sender.GetOrCreate("a")
		state.Running, state.ExpectedEvents = 1, 150
		for range 100 {
			time.Sleep(50 * time.Millisecond)
			state.Observe(50*time.Millisecond, time.Now())
		}
		receiver.GetOrCreate("a").ExpectedEvents = 20
		receiver.LearnSlotUse(&wire.NodeBeat{Node: "sender", Uses: sender.Announced(time.Now())}, time.Now())
		if got := receiver.Paces().UsualAt("a"); got.Round(time.Millisecond) != 50*time.Millisecond {
			t.Errorf("usual interval %s", got)
		}
		if got := receiver.ExpectedEvents(time.Now())["a"]; got != 170 {
			t.Errorf("%d expected events of both nodes, want 170", got)
		}
		time.Sleep(2 * SlotUseTimeout)
		if got := receiver.ExpectedEvents(time.Now())["a"]; got != 20 {
			t.Errorf("%d expected events once the heartbeat is old, want 20", got)
		}
		time.Sleep(PaceRetention)
		if got := receiver.Paces().UsualAt("a"); got != 0 {
			t.Errorf("usual interval %s after %s", got, PaceRetention)
		}
	})
}

// Guards against avoiding a replica because it was disturbed before a pause between steps.
func TestDisturbanceForgottenAfterGap(t *testing.T) {
	now := time.Now()
	state := &State{Running: 1}
	observe := func(interval time.Duration, events int) {
		for range events {
			now = now.Add(interval)
			state.Observe(interval, now)
		}
	}
	observe(35*time.Millisecond, 200)
	observe(105*time.Millisecond, 30)
	if got := state.UsualInterval(now); !state.IsDisturbed(now) || got < 90*time.Millisecond {
		t.Errorf("disturbed %t, interval %s", state.IsDisturbed(now), got)
	}
	now = now.Add(FreshPaceAge)
	if got := state.UsualInterval(now); state.IsDisturbed(now) || got > 50*time.Millisecond {
		t.Errorf("disturbed %t, interval %s after the gap", state.IsDisturbed(now), got)
	}
	now = now.Add(time.Second)
	observe(35*time.Millisecond, 1)
	if state.IsDisturbed(now) {
		t.Error("disturbed after the first event that follows the gap")
	}
}
