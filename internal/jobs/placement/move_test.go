package placement

import (
	"testing"
	"time"
)

// pacesOf returns the paces of replicas a, b, ... from intervals in milliseconds.
func pacesOf(intervals ...int) Paces {
	known := map[string]time.Duration{}
	for number, interval := range intervals {
		known[string(rune('a'+number))] = time.Duration(interval) * time.Millisecond
	}
	return NewPaces(known)
}

func TestRunsThatWouldEndLateMoveForLess(t *testing.T) {
	paces, alike := pacesOf(56, 50, 50), pacesOf(54, 50, 50)
	for _, test := range []struct {
		name  string
		rest  int
		left  time.Duration
		due   bool
		moved bool
	}{
		{"late here, sooner there", 100, 5400 * time.Millisecond, true, true},
		{"in time here", 100, 6 * time.Second, true, false},
		{"late wherever it runs, and sooner there", 100, 4 * time.Second, true, true},
		{"late here, and hardly sooner there", 20, 1100 * time.Millisecond, true, false},
		{"no time named", 100, 0, false, false},
	} {
		run := &Run{Replica: "a", Replicas: replicas(0, 0, 0)[1:], Events: 10, RemainingEvents: test.rest, HasDeadline: test.due, TimeLeft: test.left}
		if moves := Moves(paces, []*Run{run}); (len(moves) == 1) != test.moved {
			t.Errorf("%s: %d moves", test.name, len(moves))
		}
		if moves := Moves(alike, []*Run{run}); len(moves) > 0 {
			t.Errorf("%s: moved for a difference that comes and goes with the load", test.name)
		}
	}
}

func TestTextsWithoutSlackAreCutAfterSomeIntervals(t *testing.T) {
	paces := pacesOf(50, 50, 50, 140)
	for _, test := range []struct {
		name    string
		run     Run
		stalled bool
	}{
		{"without slack", Run{Replica: "a", Events: 60, RemainingEvents: 80, HasDeadline: true, TimeLeft: 4 * time.Second, Idle: 220 * time.Millisecond}, true},
		{"without slack, an interval or two", Run{Replica: "a", Events: 60, RemainingEvents: 80, HasDeadline: true, TimeLeft: 4 * time.Second, Idle: 150 * time.Millisecond}, false},
		{"without slack where events are slow", Run{Replica: "d", Events: 60, RemainingEvents: 80, HasDeadline: true, TimeLeft: 4 * time.Second, Idle: 400 * time.Millisecond}, false},
		{"with slack", Run{Replica: "a", Events: 60, RemainingEvents: 10, HasDeadline: true, TimeLeft: 4 * time.Second, Idle: 400 * time.Millisecond}, false},
		{"with slack, for long", Run{Replica: "a", Events: 60, RemainingEvents: 10, HasDeadline: true, TimeLeft: 4 * time.Second, Idle: 600 * time.Millisecond}, true},
		{"no time named", Run{Replica: "a", Events: 60, RemainingEvents: 80, Idle: 400 * time.Millisecond}, false},
		{"not begun, without slack", Run{Replica: "a", RemainingEvents: 140, HasDeadline: true, TimeLeft: 7 * time.Second, Idle: 300 * time.Millisecond}, false},
		{"not begun for long, without slack", Run{Replica: "a", RemainingEvents: 140, HasDeadline: true, TimeLeft: 7 * time.Second, Idle: 500 * time.Millisecond}, true},
		{"not begun, with slack", Run{Replica: "a", RemainingEvents: 40, HasDeadline: true, TimeLeft: 7 * time.Second, Idle: 800 * time.Millisecond}, false},
		{"weights change", Run{Replica: "a", Events: 60, RemainingEvents: 80, HasDeadline: true, TimeLeft: 4 * time.Second, Loading: true, Idle: 600 * time.Millisecond}, false},
	} {
		if got := Stalled(paces, &test.run); got != test.stalled {
			t.Errorf("%s: %t", test.name, got)
		}
	}
}
