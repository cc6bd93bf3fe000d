package batch

import (
	"time"

	"github.com/pathtally/pathtally/internal/clock"
)

// pauseThreshold is the gap between checks above which this process counts as paused, so
// that other nodes may have taken its jobs over.
const pauseThreshold = 800 * time.Millisecond

// pauseDetector detects that the process was paused or the machine suspended. It is not
// safe for concurrent use.
type pauseDetector struct {
	clock clock.Clock
	last  time.Time
}

func newPauseDetector(counting clock.Clock) *pauseDetector {
	return &pauseDetector{clock: counting, last: counting()}
}

// check returns the time since the last check if that counts as a pause, else 0.
func (d *pauseDetector) check() time.Duration {
	now := d.clock()
	gap := now.Sub(d.last)
	d.last = now
	if gap <= pauseThreshold {
		return 0
	}
	return gap
}
