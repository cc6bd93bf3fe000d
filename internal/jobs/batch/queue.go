package batch

import (
	"slices"
	"time"

	"github.com/pathtally/pathtally/internal/jobs/placement"
	"github.com/pathtally/pathtally/internal/replicas/directory"
)

// queued is a queued item with its view for placement decisions.
type queued struct {
	view placement.Item
	item *item
}

// sortQueue sorts the queue in processing order. The mutex must be held.
func (s *scheduler) sortQueue() {
	configuration := s.config.Directory.View().Configuration
	interval := s.replicas.Paces().MedianInterval()
	views := make([]queued, 0, len(s.queue))
	for _, waiting := range s.queue {
		views = append(views, queued{view: s.viewOf(waiting, configuration, interval), item: waiting})
	}
	slices.SortStableFunc(views, func(a, b queued) int { return placement.Compare(a.view, b.view) })
	for position, next := range views {
		next.item.urgent = next.view.IsUrgent()
		s.queue[position] = next.item
	}
}

// viewOf returns the view of a queued item for placement decisions. interval is the usual
// time between events. The mutex must be held.
func (s *scheduler) viewOf(waiting *item, configuration *directory.Configuration, interval time.Duration) placement.Item {
	return placement.Item{
		Priority: priorityOf(configuration, waiting.job.record), JobStarted: waiting.job.startedAt,
		Rank: waiting.rank.Position, Reserve: waiting.rank.Reserve, HasProgress: len(waiting.progress.events) > 0,
		Deadline: waiting.job.deadline, TimeLeft: time.Until(waiting.job.deadline), Objective: waiting.job.completionObjective, ExpectedRunTime: time.Duration(s.remainingEvents(waiting)) * interval,
	}
}

// remainingEvents returns the expected number of remaining events of an item, 0 if
// unknown. The mutex must be held.
func (s *scheduler) remainingEvents(work *item) int {
	return placement.Remaining(s.expectedEventsOf(work), work.knownEvents(), s.eventRates.Of(work.job.submission.Model).Longest())
}

// expectedEventsOf returns the expected number of events of an item's text, 0 if unknown. The
// mutex must be held.
func (s *scheduler) expectedEventsOf(work *item) int {
	if work.expectedEvents > 0 || work.Item == nil {
		return work.expectedEvents
	}
	return s.eventRates.Of(work.job.submission.Model).Expect(work.ExpectedTokens)
}

// dequeue removes a job's items from the queue. The mutex must be held.
func (s *scheduler) dequeue(dropped *job) {
	s.queue = slices.DeleteFunc(s.queue, func(waiting *item) bool { return waiting.job == dropped })
}
