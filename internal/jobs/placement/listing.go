package placement

import (
	"cmp"
	"slices"
	"time"
)

const (
	// readerPeriod is the shortest time between two reads of a trainer, which also ends its job
	// no sooner than this after its last read began. Results listed within this time before the
	// last ones that the trainer waits for delay the end of the job.
	readerPeriod = 500 * time.Millisecond
	// holdWindow is the expected time until the trainer has its groups from which on results are
	// held back. It exceeds readerPeriod by the time that storing and reading takes.
	holdWindow = readerPeriod + 50*time.Millisecond
	// maxHold is the longest time for which results are held back. If the owner fails, results
	// that are not listed are generated again.
	maxHold = 2 * time.Second
	// listingInterval is the time between listings, and listingIntervalSoon that while the
	// trainer will have its groups within soon. With the latter, the last read before the trainer
	// has its groups begins shortly before the hold.
	listingInterval     = time.Second
	listingIntervalSoon = readerPeriod
	soon                = 2 * time.Second
	// lastListing is how long after the deadline complete groups are listed at the latest: groups
	// count in full until 700 ms after it, and storing and reading results takes up to 200 ms.
	// lastHold is the expected time until the trainer has its groups for which that listing waits,
	// and the longest time for which it does: the end of a text or its score may take longer.
	lastListing = 500 * time.Millisecond
	lastHold    = 80 * time.Millisecond
	// queuedDelay is the time added to the expected run time of an item that waits.
	queuedDelay = 300 * time.Millisecond
)

// UnfinishedItem is an item without a result, for estimating when its group is complete.
type UnfinishedItem struct {
	// Group identifies the item's group within its job.
	Group int
	Work  Work
	// Replica is the replica that runs the item, "" if the item waits for one.
	Replica string
}

// ListingGroup is a group of a job, for estimating when the trainer has its groups.
type ListingGroup struct {
	// Inherited is set if the trainer waits for the group, whichever others are complete.
	Inherited bool
}

// CompletesIn estimates the time until the trainer has the groups that it waits for: desired
// groups and all inherited ones. groups are all groups of the job, and unfinished its items
// without a result. It is 0 if the trainer has them.
func (p Paces) CompletesIn(groups []ListingGroup, unfinished []UnfinishedItem, desired int) time.Duration {
	ends := make([]time.Duration, len(groups))
	for _, item := range unfinished {
		ends[item.Group] = max(ends[item.Group], p.endsIn(item))
	}
	inherited := time.Duration(0)
	for i, counted := range groups {
		if counted.Inherited {
			inherited = max(inherited, ends[i])
		}
	}
	slices.SortFunc(ends, cmp.Compare)
	if desired <= 0 || desired > len(ends) {
		desired = len(ends)
	}
	if desired == 0 {
		return 0
	}
	return max(inherited, ends[desired-1])
}

// endsIn returns the expected time until an item is finished, at least a nanosecond.
func (p Paces) endsIn(item UnfinishedItem) time.Duration {
	if item.Replica == "" {
		return queuedDelay + item.Work.runTime(p.usualMedian)
	}
	return max(1, item.Work.runTime(p.UsualAt(item.Replica)))
}

// ListingDue reports whether the finished results of a job that depends on the speed of replicas
// are to be listed now. completesIn is the expected time until the trainer has its groups,
// timeLeft the time until the job's deadline, and waited the time since the last listing.
// groupComplete is set if a group became complete since then.
func ListingDue(completesIn, timeLeft, waited time.Duration, groupComplete bool) bool {
	switch {
	case completesIn == 0:
		return groupComplete || waited >= listingInterval
	case timeLeft <= -lastListing && timeLeft+waited > -lastListing && (completesIn > lastHold || timeLeft <= -lastListing-lastHold):
		return true
	case completesIn <= holdWindow:
		return waited >= maxHold
	case completesIn <= soon:
		return waited >= listingIntervalSoon
	}
	return waited >= listingInterval
}
