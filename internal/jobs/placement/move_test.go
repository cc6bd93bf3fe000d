package placement

import (
	"testing"
	"time"
)

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
