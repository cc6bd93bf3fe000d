package batch

import "time"

const (
	// nearlyWholeShare is the share of the desired groups, from 0 to 1, from which each
	// further complete group of a late job is listed with little delay.
	nearlyWholeShare = 0.8
	// lateGrace is how long after the job is due a complete group may still be held back.
	// The platform counts results that readers see shortly after that as in time.
	lateGrace = 200 * time.Millisecond
	// lastEvents is the number of events before the longest known length from which a
	// text counts as about to end, half a second at the usual pace.
	lastEvents = 10
)

// listsSoon reports whether the finished results are to be listed with little delay:
// either all items are finished, or a group became complete and the trainer then has what
// it waits for or is late already.
//
// A reader that gets results comes back half a second later, so listing results shortly
// before the last ones that the trainer waits for would delay these. The mutex must be
// held.
func (j *job) listsSoon(now time.Time) bool {
	if j.remaining() == 0 {
		return true
	}
	late := j.due.IsZero() || now.After(j.due.Add(lateGrace))
	return j.flushSoon && (j.hasDesired() || (late && j.nearlyWhole()))
}

// gatherTime returns the longest time after an append that results wait for others. It is
// longer if the texts that are about to end, given the longest known length in events,
// complete what the trainer waits for. The mutex must be held.
func (j *job) gatherTime(now time.Time, longest int) time.Duration {
	limit := resultGather
	if !j.due.IsZero() && now.After(j.due.Add(-resultGather)) {
		limit = dueGather
	}
	if longest == 0 || j.due.IsZero() || j.hasDesired() {
		return limit
	}
	aboutToEnd := func(waited *item) bool { return waited.seen() >= longest-lastEvents }
	if j.hasDesiredIf(aboutToEnd) {
		return limit + endGather
	}
	return limit
}

// hasDesired reports whether the trainer has the groups that it waits for. The mutex must
// be held.
func (j *job) hasDesired() bool { return j.hasDesiredIf(func(*item) bool { return false }) }

// hasDesiredIf reports whether the trainer would have the groups that it waits for if the
// unfinished items for which isSettled is true had results: the desired number of
// complete groups, and all inherited ones among them. The mutex must be held.
func (j *job) hasDesiredIf(isSettled func(*item) bool) bool {
	open := map[*group]int{}
	for _, counted := range j.groups {
		open[counted] = counted.open
	}
	for _, waited := range j.items {
		if !waited.done && waited.group != nil && isSettled(waited) {
			open[waited.group]--
		}
	}
	whole := 0
	for counted, left := range open {
		if left == 0 {
			whole++
		} else if counted.inherited {
			return false
		}
	}
	return whole >= j.desired()
}

// nearlyWhole reports whether enough groups are complete that the trainer may soon have
// those that it waits for. If the job names no desired number, one complete group is
// enough. The mutex must be held.
func (j *job) nearlyWhole() bool {
	whole := 0
	for _, counted := range j.groups {
		if counted.open == 0 {
			whole++
		}
	}
	return float64(whole) >= nearlyWholeShare*float64(j.desired())
}

// desired returns the number of complete groups that the trainer waits for, 1 if the job
// names none.
func (j *job) desired() int { return min(len(j.groups), max(j.submission.Desired, 1)) }
