package placement

import (
	"cmp"
	"time"
)

// Item is an item that waits for a replica.
type Item struct {
	// Priority is that of its tenant or route, 0 the most urgent.
	Priority int
	// JobStarted is when this node started its job.
	JobStarted time.Time
	// Rank is its place in its job's order.
	Rank int
	// Deadline is when its job is to be whole; zero for no such time. TimeLeft is how long that
	// is yet.
	Deadline time.Time
	TimeLeft time.Duration
	// Objective is the time that its job has in all.
	Objective time.Duration
	// ExpectedRunTime is how long a run to its end is expected to take, 0 for unknown.
	ExpectedRunTime time.Duration
	// HasProgress is set where earlier runs have made a part of it.
	HasProgress bool
	// Reserve is set where the trainer need not wait for its group.
	Reserve bool
}

const (
	// longShare is the part of its job's time, between 0 and 1, from which on an item
	// counts as long: with the factor of two or so by which texts outgrow what is
	// expected of them, a wait behind shorter ones may cost its group.
	longShare = 0.3
	// lostMargin is by how much an item has to be expected late to be taken for lost:
	// lengths are expected no more closely than that.
	lostMargin = time.Second
	// ageStep is the difference in age from which an older job goes first.
	ageStep = 2 * time.Second
)

// Compare orders items that wait: those of more urgent tenants or routes first, then
// the long ones and those whose run was cut, of any job, the one with the least slack in
// front; then the items of older jobs where they differ by much, then by rank. The
// long and cut ones are few, so they hardly hold up the others, and decide when their
// groups are whole.
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

// The classes of items that wait, in their order.
const (
	classUrgent = iota
	classOther
)

func (i Item) class() int {
	if i.IsUrgent() {
		return classUrgent
	}
	return classOther
}

// IsUrgent tells whether the item is long or was cut, so that a wait may cost its group
// the time that it has. One that cannot be in time yields to those that can.
func (i Item) IsUrgent() bool {
	isLong := float64(i.ExpectedRunTime) >= longShare*float64(i.Objective)
	isLost := i.ExpectedRunTime > i.TimeLeft+lostMargin
	return !i.Deadline.IsZero() && !i.Reserve && !isLost && (isLong || i.HasProgress)
}

// latestStart is when it has to begin for its job to be whole in time.
func (i Item) latestStart() time.Time { return i.Deadline.Add(-i.ExpectedRunTime) }
