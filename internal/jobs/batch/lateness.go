package batch

import (
	"time"

	"github.com/pathtally/pathtally/internal/jobs/placement"
)

// logLateness logs why a job that ends now missed its completion objective, if it did.
// The mutex must be held.
func (s *Service) logLateness(ended *job) {
	if ended.deadline.IsZero() || !time.Now().After(ended.deadline) {
		return
	}
	last := ended.lastItem()
	if last == nil {
		return
	}
	reason := placement.ClassifyLateness(s.replicas.Paces(), last.history())
	s.metrics.late.WithLabelValues(string(reason)).Inc()
	s.config.Logger.Info("batch job was late", "request", ended.id, "reason", string(reason), "lateMs", time.Since(ended.deadline).Milliseconds(),
		"item", last.ID, "replica", last.lastRun.endpoint.Name, "waitedMs", last.queueWait.Milliseconds(), "runs", last.runs, "events", last.recordedEvents)
}

// lastItem returns the finished item whose last run ended last, nil if there is none. The
// mutex must be held.
func (j *job) lastItem() *item {
	var last *item
	for _, id := range j.order {
		candidate := j.items[id]
		if !candidate.done || candidate.lastRun == nil {
			continue
		}
		if last == nil || candidate.lastRun.endTime().After(last.lastRun.endTime()) {
			last = candidate
		}
	}
	return last
}

// history summarizes the item's runs. The mutex must be held.
func (i *item) history() placement.History {
	return placement.History{
		Epoch: i.job.record.Epoch, Waited: i.queueWait, Stalls: i.stalls, BrokenRuns: i.brokenRuns, Interval: i.lastRun.meanInterval(),
	}
}

// endTime returns when a run that has ended did so.
func (r *itemRun) endTime() time.Time { return r.startedAt.Add(r.duration) }

// meanInterval returns the mean time between the events of a run that has ended, 0 if it
// had fewer than two.
func (r *itemRun) meanInterval() time.Duration {
	gaps := r.events.Load() - 1
	if gaps <= 0 {
		return 0
	}
	return (r.duration - r.firstEventDelay) / time.Duration(gaps)
}
