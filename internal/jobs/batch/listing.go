package batch

import "time"

const (
	// nearlyWholeShare is the part of the desired groups, between 0 and 1, from which on
	// each whole one of a late job is listed without delay.
	nearlyWholeShare = 0.8
	// lateGrace is how long after its job was due a group may still be held back: what
	// readers see half a second later the platform takes for in time for a little while.
	lateGrace = 200 * time.Millisecond
	// lastEvents is how many events before the longest length known a text counts as
	// about to end: half a second's.
	lastEvents = 10
)

// listsSoon tells whether what is finished is to be listed with little delay: all is, or
// a group became whole and the trainer then has what it waits for or is late already. A
// reader that is answered comes back half a second later, so results listed shortly
// before the last ones that a trainer waits for would put these off. The mutex must be
// held.
func (j *job) listsSoon(now time.Time) bool {
	if j.remaining() == 0 {
		return true
	}
	late := j.due.IsZero() || now.After(j.due.Add(lateGrace))
	return j.flushSoon && (j.hasDesired() || (late && j.nearlyWhole()))
}

// gatherTime is how long after an append results wait for others at most: longer where
// texts that are about to end, of which the longest has so many events, make the job
// whole. The mutex must be held.
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

// hasDesired tells whether the trainer has what it waits for. The mutex must be held.
func (j *job) hasDesired() bool { return j.hasDesiredIf(func(*item) bool { return false }) }

// hasDesiredIf tells whether the trainer would have what it waits for if some of the items
// without a result had one: as many whole groups as it desires, and all of those that it
// has asked for before. The mutex must be held.
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

// nearlyWhole tells whether so many groups are whole that the trainer may soon
// have what it waits for; without a trainer any whole group counts. The mutex
// must be held.
func (j *job) nearlyWhole() bool {
	whole := 0
	for _, counted := range j.groups {
		if counted.open == 0 {
			whole++
		}
	}
	return float64(whole) >= nearlyWholeShare*float64(j.desired())
}

// desired is how many whole groups the trainer waits for, 1 without a trainer.
func (j *job) desired() int { return min(len(j.groups), max(j.submission.Desired, 1)) }
