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
	for place, next := range views {
		next.item.urgent = next.view.IsUrgent()
		s.queue[place] = next.item
	}
}

// viewOf returns the view of a queued item for placement decisions. interval is the usual
// time between events. The mutex must be held.
func (s *scheduler) viewOf(waiting *item, configuration *directory.Configuration, interval time.Duration) placement.Item {
	return placement.Item{
		Priority: priorityOf(configuration, waiting.job.record), JobStarted: waiting.job.takenUp,
		Rank: waiting.rank.Position, Reserve: waiting.rank.Reserve, HasProgress: len(waiting.progress.events) > 0,
		Deadline: waiting.job.due, TimeLeft: time.Until(waiting.job.due), Objective: waiting.job.objective, ExpectedRunTime: time.Duration(s.rest(waiting)) * interval,
	}
}

// rest returns the expected number of remaining events of an item, 0 if unknown. The
// mutex must be held.
func (s *scheduler) rest(work *item) int {
	rate := s.eventRates.Of(work.job.submission.Model)
	expected := work.expected
	if expected == 0 && work.Item != nil {
		expected = rate.Expect(work.ExpectedTokens)
	}
	return placement.Remaining(expected, work.seen(), rate.Longest())
}

// drop removes a job's items from the queue. The mutex must be held.
func (s *scheduler) drop(dropped *job) {
	s.queue = slices.DeleteFunc(s.queue, func(waiting *item) bool { return waiting.job == dropped })
}
