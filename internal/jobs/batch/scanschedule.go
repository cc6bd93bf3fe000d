package batch

import "time"

// pausedScanGap is the minimum time between scans that counts as a pause of this process.
// Events that came during a pause are still unread, so that every run looks stalled.
const pausedScanGap = 4 * scanInterval

// scanSchedule decides when the runs are scanned for stalls and moves.
type scanSchedule struct {
	// last is when the last scan was made or skipped.
	last time.Time
	// skipped is set if the last scan was skipped.
	skipped bool
}

// isDue reports whether the runs are to be scanned now. It skips one scan after a pause,
// but not two in a row, so that a process that is slow all the time still scans.
func (s *scanSchedule) isDue(now time.Time) bool {
	since := now.Sub(s.last)
	if since < scanInterval {
		return false
	}
	s.last = now
	s.skipped = since >= pausedScanGap && !s.skipped
	return !s.skipped
}
