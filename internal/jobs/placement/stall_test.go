package placement

import (
	"testing"
	"time"
)

func TestStalled(t *testing.T) {
	paces := pacesOf(50, 50, 50, 140)
	for _, test := range []struct {
		name    string
		run     Run
		stalled bool
	}{
		{"no slack, beyond the timeout", Run{Replica: "a", Events: 60, RemainingEvents: 80, HasDeadline: true, TimeLeft: 4 * time.Second, Idle: 220 * time.Millisecond}, true},
		{"no slack, within the timeout", Run{Replica: "a", Events: 60, RemainingEvents: 80, HasDeadline: true, TimeLeft: 4 * time.Second, Idle: 150 * time.Millisecond}, false},
		{"no slack, slow replica", Run{Replica: "d", Events: 60, RemainingEvents: 80, HasDeadline: true, TimeLeft: 4 * time.Second, Idle: 400 * time.Millisecond}, false},
		{"slack, within the timeout", Run{Replica: "a", Events: 60, RemainingEvents: 10, HasDeadline: true, TimeLeft: 4 * time.Second, Idle: 400 * time.Millisecond}, false},
		{"slack, beyond the timeout", Run{Replica: "a", Events: 60, RemainingEvents: 10, HasDeadline: true, TimeLeft: 4 * time.Second, Idle: 600 * time.Millisecond}, true},
		{"no deadline", Run{Replica: "a", Events: 60, RemainingEvents: 80, Idle: 400 * time.Millisecond}, false},
		{"no event, no slack, within the timeout", Run{Replica: "a", RemainingEvents: 140, HasDeadline: true, TimeLeft: 7 * time.Second, Idle: 300 * time.Millisecond}, false},
		{"no event, no slack, beyond the timeout", Run{Replica: "a", RemainingEvents: 140, HasDeadline: true, TimeLeft: 7 * time.Second, Idle: 500 * time.Millisecond}, true},
		{"no event, slack, within the timeout", Run{Replica: "a", RemainingEvents: 40, HasDeadline: true, TimeLeft: 7 * time.Second, Idle: 800 * time.Millisecond}, false},
		{"loading weights", Run{Replica: "a", Events: 60, RemainingEvents: 80, HasDeadline: true, TimeLeft: 4 * time.Second, Loading: true, Idle: 600 * time.Millisecond}, false},
	} {
		if got := Stalled(paces, &test.run); got != test.stalled {
			t.Errorf("%s: stalled %t", test.name, got)
		}
	}
}

func TestHasRecentEvent(t *testing.T) {
	for _, test := range []struct {
		name string
		idle time.Duration
		want bool
	}{
		{"recent event", 100 * time.Millisecond, true},
		{"just before the event timeout", eventTimeout - time.Millisecond, true},
		{"at the event timeout", eventTimeout, false},
	} {
		if got := HasRecentEvent(&Run{Replica: "a", Events: 5, Idle: test.idle}); got != test.want {
			t.Errorf("%s: recent event %t", test.name, got)
		}
	}
}
