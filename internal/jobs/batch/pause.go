package batch

import (
	"time"

	"github.com/pathtally/pathtally/internal/clock"
)

// pauseLimit is the gap between checks from which this process counts as having been
// paused, so that others may have taken its jobs over.
const pauseLimit = 800 * time.Millisecond

// pauseDetector notices that the process was paused or the machine suspended. It belongs
// to one goroutine.
type pauseDetector struct {
	clock clock.Clock
	last  time.Time
}

func newPauseDetector(counting clock.Clock) *pauseDetector {
	return &pauseDetector{clock: counting, last: counting()}
}

// check is called at each check of the owners and returns the gap since the last one where
// that is a pause, else 0.
func (d *pauseDetector) check() time.Duration {
	now := d.clock()
	gap := now.Sub(d.last)
	d.last = now
	if gap <= pauseLimit {
		return 0
	}
	return gap
}
