package placement

import (
	"testing"
	"time"
)

func TestWhyAJobWasLate(t *testing.T) {
	paces := pacesOf(50, 50, 50)
	for _, test := range []struct {
		course Course
		want   Lateness
	}{
		{Course{Epoch: 2, Waited: time.Second}, LateRestart},
		{Course{Epoch: 1, Waited: time.Second, Stalls: 1}, LateNoSlot},
		{Course{Epoch: 1, Stalls: 1, Breaks: 1}, LateStall},
		{Course{Epoch: 1, Breaks: 1, Interval: 80 * time.Millisecond}, LateBreaks},
		{Course{Epoch: 1, Interval: 54 * time.Millisecond}, LateReplica},
		{Course{Epoch: 1, Interval: 51 * time.Millisecond}, LateLongText},
	} {
		if got := WhyLate(paces, test.course); got != test.want {
			t.Errorf("%+v: %s, want %s", test.course, got, test.want)
		}
	}
}
