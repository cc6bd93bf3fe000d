package placement

import (
	"cmp"
	"time"
)

const (
	// longShare is the share of a job's objective, 0 to 1, from which an item's expected
	// run time counts as long. It is low because texts often take twice what is expected.
	longShare = 0.3
	// lostMargin is how far beyond the deadline an item must be expected to end to lose its
	// urgency: estimates are no more precise than that.
	lostMargin = time.Second
	// ageStep is the granularity at which jobs are ordered by age.
	ageStep = 2 * time.Second
)

// Item is the view of an item that waits for a replica.
type Item struct {
	// Priority is that of the item's tenant or route, 0 the most urgent.
	Priority int
	// JobStarted is when this node started the item's job.
	JobStarted time.Time
	// Rank is the item's position in its job's order.
	Rank int
	// Deadline is when the item's job has to be complete, zero for none.
	Deadline time.Time
	// TimeLeft is the time until Deadline.
	TimeLeft time.Duration
	// Objective is the time that the item's job has in all.
	Objective time.Duration
	// ExpectedRunTime is how long a run to the item's end is expected to take, 0 if
	// unknown.
	ExpectedRunTime time.Duration
	// HasProgress is set where earlier runs have generated a part of the text.
	HasProgress bool
	// Reserve is set where the trainer need not wait for the item's group.
	Reserve bool
}

// Compare orders waiting items; a negative result means that a runs before b. It compares
// by priority, then urgent items before others, urgent ones by the latest time at which
// they can start, then by the age of their jobs in steps of ageStep, then by rank.
//
// Urgent items of any job come first because they decide when their groups are complete,
// and are too few to delay the others by much.
func Compare(a, b Item) int {
	if order := a.Priority - b.Priority; order != 0 {
		return order
	}
	if order := cmp.Compare(a.class(), b.class()); order != 0 {
		return order
	}
	if a.class() == classUrgent {
		if order := a.latestStart().Compare(b.latestStart()); order != 0 {
			return order
		}
	}
	if order := a.JobStarted.Truncate(ageStep).Compare(b.JobStarted.Truncate(ageStep)); order != 0 {
		return order
	}
	return a.Rank - b.Rank
}

// itemClass orders items of the same priority, the lowest first.
type itemClass int

const (
	classUrgent itemClass = iota
	classOther
)

func (i Item) class() itemClass {
	if i.IsUrgent() {
		return classUrgent
	}
	return classOther
}

// IsUrgent reports whether waiting may make the item's group late: the item is long or an
// earlier run of it was cut, and it can still be in time. Reserve items and items of jobs
// without a deadline are never urgent.
func (i Item) IsUrgent() bool {
	if i.Deadline.IsZero() || i.Reserve || i.isLost() {
		return false
	}
	return i.isLong() || i.HasProgress
}

func (i Item) isLong() bool { return float64(i.ExpectedRunTime) >= longShare*float64(i.Objective) }

// isLost reports whether the item can't be expected to end in time even if it starts now.
func (i Item) isLost() bool { return i.ExpectedRunTime > i.TimeLeft+lostMargin }

// latestStart is when the item has to start in order to end by its deadline.
func (i Item) latestStart() time.Time { return i.Deadline.Add(-i.ExpectedRunTime) }
