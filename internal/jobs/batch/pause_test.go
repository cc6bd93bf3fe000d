package batch

import (
	"testing"
	"time"
)

// Guards against missing a suspension of the machine, in which other nodes take jobs over
// and a steady clock does not advance.
func TestPauseDetectorCountsSuspension(t *testing.T) {
	now := time.Unix(0, 0)
	pauses := newPauseDetector(func() time.Time { return now })
	for _, step := range []struct{ gap, want time.Duration }{
		{ownerCheckInterval, 0}, {pauseThreshold, 0}, {5 * time.Second, 5 * time.Second}, {ownerCheckInterval, 0},
	} {
		now = now.Add(step.gap)
		if got := pauses.check(); got != step.want {
			t.Errorf("gap of %v: pause of %v, want %v", step.gap, got, step.want)
		}
	}
}
