package batch

import (
	"time"

	"github.com/pathtally/pathtally/internal/clock"
)

// pauseLimit is from which gap between looks this process counts as having stood still,
// so that others may have taken its jobs over.
const pauseLimit = 800 * time.Millisecond

// pauseDetector notices that the process stood still, or the machine was suspended. It
// belongs to one goroutine.
type pauseDetector struct {
	clock clock.Clock
	last  time.Time
}

func newPauseDetector(counting clock.Clock) *pauseDetector {
	return &pauseDetector{clock: counting, last: counting()}
}

// look is called at each look and returns the gap since the last one where that is a
// pause, else 0.
func (d *pauseDetector) look() time.Duration {
	now := d.clock()
	gap := now.Sub(d.last)
	d.last = now
	if gap <= pauseLimit {
		return 0
	}
	return gap
}
