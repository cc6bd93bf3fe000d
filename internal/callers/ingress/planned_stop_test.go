package ingress

import (
	"testing"
	"time"
)

func TestPlannedStopTakes(t *testing.T) {
	begun := time.Now()
	at := func(seconds float64) time.Time { return begun.Add(time.Duration(seconds * float64(time.Second))) }
	stop := &plannedStop{takeAllUntil: at(3), end: at(7)}
	for _, test := range []struct {
		name          string
		stop          *plannedStop
		now, deadline float64
		want          bool
	}{
		{"no stop", nil, 1, 100, true},
		{"callers have not noticed", stop, 2.9, 100, true},
		{"ends in time", stop, 3.1, 6.9, true},
		{"may not end in time", stop, 3.1, 7.1, false},
		{"after the end", stop, 7.1, 7.2, false},
	} {
		if got := test.stop.takes(at(test.now), at(test.deadline)); got != test.want {
			t.Errorf("%s: takes %v, want %v", test.name, got, test.want)
		}
	}
}
