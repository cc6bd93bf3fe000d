package batch

import "time"

// pausedScanGap is the time between two scans from which this process counts as having
// been paused. Events that came meanwhile are yet to be read, so that all runs seem to
// have stalled.
const pausedScanGap = 4 * scanInterval

// scanSchedule decides when the runs are scanned for stalls and moves.
type scanSchedule struct {
	// last is when they were scanned, or skipped.
	last time.Time
	// skipped is set where they were skipped the last time.
	skipped bool
}

// isDue tells whether the runs are to be scanned now. After a pause they are skipped once,
// and not again: a process that is slow throughout must scan as well.
func (s *scanSchedule) isDue(now time.Time) bool {
	since := now.Sub(s.last)
	if since < scanInterval {
		return false
	}
	s.last = now
	s.skipped = since >= pausedScanGap && !s.skipped
	return !s.skipped
}
