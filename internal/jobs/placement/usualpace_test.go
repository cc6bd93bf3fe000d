package placement

import (
	"math/rand/v2"
	"testing"
	"time"
)

// observedReplica has the estimators of one replica with four concurrent runs.
type observedReplica struct {
	pace  Pace
	usual UsualPace
}

// run observes events at an interval for a time. It returns the time after which the replica
// counted as slowed for the first time, 0 for never.
func (o *observedReplica) run(interval, duration time.Duration) (recognised time.Duration) {
	const runs = 4
	for elapsed := interval / runs; elapsed <= duration; elapsed += interval / runs {
		o.pace.Observe(interval, runs)
		o.usual.Observe(interval, runs, o.pace.Interval())
		if o.usual.IsSlowed() && recognised == 0 {
			recognised = elapsed
		}
	}
	return recognised
}

// Guards against moves and wrong placements because of other work on a replica's machine: 2.5
// times slower for 600 ms during 15% of the time.
func TestUsualPaceIgnoresShortDisturbances(t *testing.T) {
	// 15% of the time at 2.5 times the interval raises the average time between events by 10%;
	// after a disturbance it is higher, because the last observations count most.
	const usual, maxRatio = 35 * time.Millisecond, 1.15
	random := rand.New(rand.NewPCG(1, 2))
	replica := &observedReplica{}
	replica.run(usual, 10*time.Second)
	for number := range 100 {
		if after := replica.run(usual*5/2, 600*time.Millisecond); after > 0 {
			t.Fatalf("disturbance %d counted after %s", number, after)
		}
		if after := replica.run(usual, 2400*time.Millisecond+time.Duration(random.IntN(2000))*time.Millisecond); after > 0 {
			t.Fatalf("counted as disturbed %s after the end of disturbance %d", after, number)
		}
		if got := replica.usual.Interval(true); got < usual || float64(got) > maxRatio*float64(usual) {
			t.Fatalf("interval %s after disturbance %d, want %s to %g times that", got, number, usual, maxRatio)
		}
	}
}

// Guards against long texts at a replica that is slow for seconds, and against avoiding it for
// long after it has recovered.
func TestUsualPaceRecognisesLongDisturbance(t *testing.T) {
	const usual = 35 * time.Millisecond
	replica := &observedReplica{}
	replica.run(usual, 10*time.Second)
	if after := replica.run(3*usual, 8*time.Second); after == 0 || after > 1300*time.Millisecond {
		t.Errorf("recognised after %s, want about a second", after)
	}
	if got := replica.usual.Interval(true); got < 5*usual/2 {
		t.Errorf("interval %s while disturbed", got)
	}
	if got := replica.usual.Interval(false); got > 3*usual/2 {
		t.Errorf("interval %s to expect once the observations are old, want the usual one", got)
	}
	replica.run(usual, 1700*time.Millisecond)
	if got := replica.usual.Interval(true); replica.usual.IsSlowed() || got > 3*usual/2 {
		t.Errorf("slowed %t, interval %s after the recovery", replica.usual.IsSlowed(), got)
	}
}

// Guards against treating a replica as disturbed forever, and against an unknown interval, which
// counts as the median, while the usual one changes.
func TestUsualPaceFollowsLastingChange(t *testing.T) {
	for _, test := range []struct {
		name          string
		before, after time.Duration
		within        time.Duration
	}{
		{"slower", 35 * time.Millisecond, 105 * time.Millisecond, 12 * time.Second},
		{"faster", 105 * time.Millisecond, 35 * time.Millisecond, 3 * time.Second},
	} {
		replica := &observedReplica{}
		replica.run(test.before, 10*time.Second)
		for elapsed := time.Duration(0); elapsed < test.within; elapsed += 200 * time.Millisecond {
			replica.run(test.after, 200*time.Millisecond)
			if replica.usual.Interval(true) == 0 {
				t.Errorf("%s: interval unknown %s after the change", test.name, elapsed)
			}
		}
		if got := replica.usual.Interval(false); replica.usual.IsSlowed() || got < test.after*9/10 || got > test.after*11/10 {
			t.Errorf("%s: slowed %t, interval %s, want %s", test.name, replica.usual.IsSlowed(), got, test.after)
		}
	}
}

// Guards against excluding a replica because of a disturbance before a pause between steps.
func TestUsualPaceForgetsDisturbanceAfterGap(t *testing.T) {
	const usual = 35 * time.Millisecond
	replica := &observedReplica{}
	replica.run(usual, 10*time.Second)
	replica.run(3*usual, 4*time.Second)
	if !replica.usual.IsSlowed() {
		t.Fatal("the disturbance was not recognised")
	}
	replica.usual.Resume()
	replica.pace = Pace{}
	if got := replica.usual.Interval(true); replica.usual.IsSlowed() || got > 3*usual/2 {
		t.Errorf("slowed %t, interval %s after the gap", replica.usual.IsSlowed(), got)
	}
	if after := replica.run(usual, time.Second); after > 0 {
		t.Errorf("counted as disturbed %s after the gap", after)
	}
}

// Guards against placing by the first events, which the prefill of prompts delays.
func TestUsualPaceUnknownUntilObserved(t *testing.T) {
	replica := &observedReplica{}
	replica.run(35*time.Millisecond, minUsualTime/2)
	if got := replica.usual.Interval(true); got != 0 {
		t.Errorf("interval %s after %s", got, minUsualTime/2)
	}
	replica.run(35*time.Millisecond, minUsualTime)
	if got := replica.usual.Interval(true); got != 35*time.Millisecond {
		t.Errorf("interval %s", got)
	}
}
