package placement

import "time"

const (
	// longItemFraction is the fraction of a job's objective from which an item's expected
	// run time counts as long. Texts often take twice the expected time.
	longItemFraction = 0.3
	// deadlineTolerance is how long after the deadline an item may be expected to end and
	// still count as urgent. It covers the error of the estimate.
	deadlineTolerance = time.Second
	// ageStep is the resolution at which jobs are ordered by age.
	ageStep = 2 * time.Second
)

// Item is a view of an item that waits for a replica.
type Item struct {
	// Priority is the priority of the item's tenant or route. 0 is the highest.
	Priority int
	// JobStarted is when this node started the item's job. For a competing job it is the
	// deadline minus the shortest objective of the competing jobs, so that a job with a longer
	// objective counts as younger.
	JobStarted time.Time
	// Rank is the item's position in its job's order.
	Rank int
	// Deadline is when the item's job must be complete, zero for none.
	Deadline time.Time
	// TimeLeft is the time until Deadline.
	TimeLeft time.Duration
	// Objective is the total time allowed for the item's job.
	Objective time.Duration
	// ExpectedRunTime is the expected time to complete the item, 0 if unknown.
	ExpectedRunTime time.Duration
	// HasProgress is set if earlier runs generated a part of the text.
	HasProgress bool
	// Reserve is set if the trainer does not need to wait for the item's group.
	Reserve bool
	// Competes is set if the item's job competes with others for slots that decide whether it
	// is in time (see Paces.CompletionCritical). The fields below apply only if it is.
	Competes bool
	// Tenant is the job's tenant, empty if no tenants are declared.
	Tenant string
	// Waited is the time since the item was queued.
	Waited time.Duration
	// Lag is how far the job's trainer is behind its period.
	Lag time.Duration
	// Yields is set if the job can no longer be in time.
	Yields bool
}

// Compare orders waiting items; a negative result means that a runs before b. The order is
// by priority, then urgent items before others, urgent items by their latest start time,
// then by the age of their jobs in steps of ageStep, then by rank.
//
// Urgent items of all jobs come first because they determine when their groups complete,
// and there are too few of them to delay other items much.
//
// For items of competing jobs, those that have been passed over for too long precede the
// others of their priority, longest first. Items at risk come before urgent ones, by the lag
// of their trainers. Items that cannot be in time follow those that can. Among other items
// of the same age, those of the trainer with the largest lag come first.
func Compare(a, b Item) int {
	first, second := a.key(0), b.key(0)
	return first.compare(&second)
}

// IsUrgent reports whether waiting may make the item's group late: the item is long or has
// progress from an earlier run, and it can still meet the deadline. Reserve items and items
// of jobs without a deadline are never urgent.
func (i Item) IsUrgent() bool {
	if i.Deadline.IsZero() || i.Reserve || i.missesDeadline() {
		return false
	}
	return i.isLong() || i.HasProgress
}

func (i Item) isLong() bool {
	return float64(i.ExpectedRunTime) >= longItemFraction*float64(i.Objective)
}

// missesDeadline reports whether the item is expected to miss the deadline even if it
// starts now.
func (i Item) missesDeadline() bool { return i.ExpectedRunTime > i.TimeLeft+deadlineTolerance }

// latestStart returns the latest time at which the item can start and end by its deadline.
func (i Item) latestStart() time.Time { return i.Deadline.Add(-i.ExpectedRunTime) }
