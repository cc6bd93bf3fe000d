package batch

import (
	"time"

	"github.com/pathtally/pathtally/internal/jobs/placement"
)

const (
	// nearlyCompleteShare is the share of the desired groups, from 0 to 1, from which each
	// further complete group of a late job is listed with little delay.
	nearlyCompleteShare = 0.8
	// lateGrace is how long after the job's deadline a complete group may still be held
	// back. The platform counts results that readers get shortly after the deadline as in
	// time.
	lateGrace = 200 * time.Millisecond
	// endingTextEvents is the number of events before the longest known length from which
	// a text counts as about to end, half a second at the usual pace.
	endingTextEvents = 10
)

// shouldListSoon reports whether the finished results are to be listed with little delay.
// They are if all items are finished, or if a group became complete and either completes
// what the trainer waits for, or the job is late and nearly complete. A job without a
// deadline counts as late.
//
// A reader that gets results polls again half a second later, so listing results shortly
// before the last ones that the trainer waits for would delay these. The mutex must be
// held.
func (j *job) shouldListSoon(now time.Time) bool {
	if j.remainingItems() == 0 {
		return true
	}
	late := j.deadline.IsZero() || now.After(j.deadline.Add(lateGrace))
	return j.flushSoon && (j.hasDesiredGroups() || (late && j.isNearlyComplete()))
}

// maxCoalesceDelay returns the longest time after an append that results wait for others.
// It is longer if the texts that are about to end, given the longest known length in
// events, complete what the trainer waits for. The mutex must be held.
func (j *job) maxCoalesceDelay(now time.Time, longest int) time.Duration {
	limit := coalesceDelay
	if !j.deadline.IsZero() && now.After(j.deadline.Add(-coalesceDelay)) {
		limit = coalesceDelayNearDeadline
	}
	if longest == 0 || j.deadline.IsZero() || j.hasDesiredGroups() {
		return limit
	}
	aboutToEnd := func(unfinished *item) bool { return unfinished.knownEvents() >= longest-endingTextEvents }
	if j.hasDesiredGroupsIf(aboutToEnd) {
		return limit + endingTextCoalesceDelay
	}
	return limit
}

// hasDesiredGroups reports whether the trainer has the groups that it waits for. The
// mutex must be held.
func (j *job) hasDesiredGroups() bool { return j.hasDesiredGroupsIf(func(*item) bool { return false }) }

// hasDesiredGroupsIf reports whether the trainer would have the groups that it waits for
// if the unfinished items for which assumeDone is true had results: the desired number of
// complete groups, and all inherited ones among them. The mutex must be held.
func (j *job) hasDesiredGroupsIf(assumeDone func(*item) bool) bool {
	open := map[*group]int{}
	for _, counted := range j.groups {
		open[counted] = counted.open
	}
	for _, unfinished := range j.items {
		if !unfinished.done && unfinished.group != nil && assumeDone(unfinished) {
			open[unfinished.group]--
		}
	}
	complete := 0
	for counted, left := range open {
		if left == 0 {
			complete++
		} else if counted.inherited {
			return false
		}
	}
	return complete >= j.desiredGroups()
}

// isNearlyComplete reports whether enough groups are complete that the trainer may soon
// have those that it waits for. If the job names no desired number, one complete group is
// enough. The mutex must be held.
func (j *job) isNearlyComplete() bool {
	complete := 0
	for _, counted := range j.groups {
		if counted.open == 0 {
			complete++
		}
	}
	return float64(complete) >= nearlyCompleteShare*float64(j.desiredGroups())
}

// desiredGroups returns the number of complete groups that the trainer waits for, 1 if
// the job names none.
func (j *job) desiredGroups() int { return min(len(j.groups), max(j.submission.Desired, 1)) }

// criticalListingDue reports whether the finished results of a job that depends on the speed of
// replicas are to be listed, waited after the last listing. The mutex must be held.
func (s *Service) criticalListingDue(held *job, paces placement.Paces, waited time.Duration) bool {
	if held.remainingItems() == 0 {
		return true
	}
	now := time.Now()
	return placement.ListingDue(s.completesIn(held, paces, now), held.deadline.Sub(now), waited, held.flushSoon)
}

// completesIn estimates the time until the trainer has the groups that it waits for. The mutex
// must be held.
func (s *Service) completesIn(held *job, paces placement.Paces, now time.Time) time.Duration {
	indexes := make(map[*group]int, len(held.groups))
	groups := make([]placement.ListingGroup, 0, len(held.groups))
	for _, counted := range held.groups {
		indexes[counted] = len(groups)
		groups = append(groups, placement.ListingGroup{Inherited: counted.inherited})
	}
	var unfinished []placement.UnfinishedItem
	for _, left := range held.items {
		if left.done {
			continue
		}
		next := placement.UnfinishedItem{Group: indexes[left.group], Work: s.scheduler.workOf(left, now)}
		switch {
		case left.currentRun != nil:
			next.Replica = left.currentRun.endpoint.Name
		case left.textComplete:
			// Its scorer answers soon: without this, it would count as waiting for a replica, and
			// results would be listed shortly before the last ones.
			next.Replica, next.Work = left.lastRun.endpoint.Name, placement.Work{}
		}
		unfinished = append(unfinished, next)
	}
	return paces.CompletesIn(groups, unfinished, held.desiredGroups())
}
