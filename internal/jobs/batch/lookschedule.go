package batch

import "time"

// pausedLook is the time between two looks from which on this process counts as having
// stood still. What came meanwhile has yet to be read, so that all runs seem to have
// stalled.
const pausedLook = 4 * lookPeriod

// lookSchedule tells when the runs are to be looked at.
type lookSchedule struct {
	// last is when they were, or were passed over.
	last time.Time
	// passedOver is set where they were passed over the last time.
	passedOver bool
}

// isDue tells whether the runs are to be looked at now. After a pause they are passed
// over once, and not again: a process that is slow throughout has to look as well.
func (s *lookSchedule) isDue(now time.Time) bool {
	since := now.Sub(s.last)
	if since < lookPeriod {
		return false
	}
	s.last = now
	s.passedOver = since >= pausedLook && !s.passedOver
	return !s.passedOver
}
