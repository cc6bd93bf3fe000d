package placement

import (
	"testing"
	"time"
)

func TestMovesLateRunsForSmallerGain(t *testing.T) {
	paces, similar := pacesOf(56, 50, 50), pacesOf(54, 50, 50)
	for _, test := range []struct {
		name        string
		remaining   int
		timeLeft    time.Duration
		hasDeadline bool
		moved       bool
	}{
		{"late at current replica, earlier at target", 100, 5400 * time.Millisecond, true, true},
		{"in time at current replica", 100, 6 * time.Second, true, false},
		{"late at both replicas, earlier at target", 100, 4 * time.Second, true, true},
		{"late at current replica, gain too small", 20, 1100 * time.Millisecond, true, false},
		{"no deadline", 100, 0, false, false},
	} {
		run := &Run{Replica: "a", Replicas: replicas(0, 0, 0)[1:], Events: 10, RemainingEvents: test.remaining, HasDeadline: test.hasDeadline, TimeLeft: test.timeLeft}
		if moves := Moves(paces, []*Run{run}); (len(moves) == 1) != test.moved {
			t.Errorf("%s: %d moves", test.name, len(moves))
		}
		if moves := Moves(similar, []*Run{run}); len(moves) > 0 {
			t.Errorf("%s: moved although the replicas are similarly fast", test.name)
		}
	}
}
