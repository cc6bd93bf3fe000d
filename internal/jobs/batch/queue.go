package batch

import (
	"slices"
	"time"

	"github.com/pathtally/pathtally/internal/jobs/placement"
)

// orderInterval is the time between updates of the order of competing jobs. Within it, their
// slack changes by less than the time that a text needs.
const orderInterval = 100 * time.Millisecond

// sortQueue sorts the queue in processing order. The mutex must be held.
func (s *scheduler) sortQueue() { s.sortQueueBy(s.newCompetition()) }

// updateOrder sorts the queue if jobs compete and it was not sorted for orderInterval. The
// order of other jobs does not depend on the time since. The mutex must be held.
func (s *scheduler) updateOrder() {
	now := time.Now()
	if now.Sub(s.orderedAt) < orderInterval {
		return
	}
	s.orderedAt = now
	current := s.newCompetition()
	for waiting := range current.own {
		if current.termsOf(waiting).view.Competes {
			s.sortQueueBy(current)
			return
		}
	}
}

// sortQueueBy sorts the queue by the views of a competition. The mutex must be held.
func (s *scheduler) sortQueueBy(current *competition) {
	s.orderedAt = current.now
	views := make([]placement.Item, 0, len(s.queue))
	for _, waiting := range s.queue {
		waiting.view = current.viewOf(waiting)
		waiting.urgent = waiting.view.IsUrgent() || waiting.view.IsAtRisk()
		views = append(views, waiting.view)
		s.reportPassedOver(waiting)
	}
	unsorted := slices.Clone(s.queue)
	for position, index := range placement.Sort(views, current.shares()) {
		s.queue[position] = unsorted[index]
	}
	current.reportYields()
}

// remainingEvents returns the expected number of remaining events of an item, 0 if
// unknown. The mutex must be held.
func (s *scheduler) remainingEvents(work *item) int {
	return work.remainingEvents(s.eventRates.Of(work.job.submission.Model))
}

// remainingEvents returns the expected number of remaining events of an item given the rate
// of its model, 0 if unknown. The mutex must be held.
func (i *item) remainingEvents(rate *placement.EventRate) int {
	expected := i.expectedEvents
	if expected == 0 && i.Item != nil {
		expected = rate.Expect(i.ExpectedTokens)
	}
	return placement.Remaining(expected, i.knownEvents(), rate.Longest())
}

// expectedEventsOf returns the expected number of events of an item's text, 0 if unknown. The
// mutex must be held.
func (s *scheduler) expectedEventsOf(work *item) int {
	if work.expectedEvents > 0 || work.Item == nil {
		return work.expectedEvents
	}
	return s.eventRates.Of(work.job.submission.Model).ExpectUnbounded(work.ExpectedTokens)
}

// dequeue removes a job's items from the queue. The mutex must be held.
func (s *scheduler) dequeue(dropped *job) {
	s.queue = slices.DeleteFunc(s.queue, func(waiting *item) bool { return waiting.job == dropped })
}
