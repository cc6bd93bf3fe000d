package placement

import (
	"testing"
	"time"
)

func TestClassifyLateness(t *testing.T) {
	paces := pacesOf(50, 50, 50)
	for _, test := range []struct {
		history History
		want    LatenessCause
	}{
		{History{Epoch: 2, Waited: time.Second}, LateOwnerChange},
		{History{Epoch: 1, Waited: time.Second, Stalls: 1}, LateNoSlot},
		{History{Epoch: 1, Stalls: 1, BrokenRuns: 1}, LateStall},
		{History{Epoch: 1, BrokenRuns: 1, Interval: 80 * time.Millisecond}, LateBrokenRuns},
		{History{Epoch: 1, Interval: 54 * time.Millisecond}, LateSlowReplica},
		{History{Epoch: 1, Interval: 51 * time.Millisecond}, LateLongText},
	} {
		if got := ClassifyLateness(paces, test.history); got != test.want {
			t.Errorf("%+v: %s, want %s", test.history, got, test.want)
		}
	}
}
