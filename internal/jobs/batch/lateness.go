package batch

import (
	"time"

	"github.com/pathtally/pathtally/internal/jobs/placement"
)

// logLateness logs why a job that ends now missed its completion objective, if it did.
// The mutex must be held.
func (s *Service) logLateness(ended *job) {
	if ended.due.IsZero() || !time.Now().After(ended.due) {
		return
	}
	last := ended.lastItem()
	if last == nil {
		return
	}
	reason := placement.ClassifyLateness(s.replicas.Paces(), last.history())
	s.metrics.late.WithLabelValues(string(reason)).Inc()
	s.config.Logger.Info("batch job was late", "request", ended.id, "reason", string(reason), "lateMs", time.Since(ended.due).Milliseconds(),
		"item", last.ID, "replica", last.lastRun.endpoint.Name, "waitedMs", last.waited.Milliseconds(), "runs", last.runs, "events", last.events)
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
		if last == nil || candidate.lastRun.endedAt().After(last.lastRun.endedAt()) {
			last = candidate
		}
	}
	return last
}

// history summarizes the item's runs. The mutex must be held.
func (i *item) history() placement.History {
	return placement.History{
		Epoch: i.job.record.Epoch, Waited: i.waited, Stalls: i.stalls, BrokenRuns: i.breaks, Interval: i.lastRun.interval(),
	}
}

// endedAt returns when a run that has ended did so.
func (a *attempt) endedAt() time.Time { return a.begun.Add(a.took) }

// interval returns the mean time between the events of a run that has ended, 0 if it had
// fewer than two.
func (a *attempt) interval() time.Duration {
	gaps := a.events.Load() - 1
	if gaps <= 0 {
		return 0
	}
	return (a.took - a.first) / time.Duration(gaps)
}
