package batch

import (
	"context"
	"time"

	"github.com/pathtally/pathtally/internal/jobs/jobstore"
	"github.com/pathtally/pathtally/internal/jobs/placement"
)

// abandonMargin is added to a job's retention before its items are abandoned, since the
// clocks of owners may differ.
const abandonMargin = 8 * time.Second

// start starts a job. confirmed is when the read began that returned the record, which
// must name this process as owner. The mutex must not be held.
func (s *Service) start(id string, submission *Submission, record jobstore.Record, listed jobstore.Listing, confirmed time.Time) {
	s.mutex.Lock()
	if existing := s.jobs[id]; existing != nil && !existing.superseded {
		s.mutex.Unlock()
		return
	}
	if s.ends.Has(id) {
		// The job was ended while this node read it or waited for the store's response.
		s.learnStored(jobstore.StoredJob{ID: id, Record: record, Ended: true})
		s.mutex.Unlock()
		s.config.Logger.Info("batch job not started: already ended", "request", id, "epoch", record.Epoch)
		go s.persistEnd(id)
		return
	}
	started := s.newJob(id, submission, record, listed)
	started.confirmedAt = confirmed
	restored := started.restore(joinPieces(listed.Pieces))
	for _, itemID := range started.order {
		if pending := started.items[itemID]; !pending.done {
			pending.queuedAt, pending.waitingSince, pending.waitReason = started.startedAt, started.startedAt, waitNew
			s.scheduler.queue = append(s.scheduler.queue, pending)
		}
	}
	s.trainers.Observe(submission.Model, int64(submission.Step), started.deadline, time.Now())
	s.scheduler.sortQueue()
	s.observeTolerance(submission)
	s.demand.Learn(started.work(), time.Now())
	s.jobs[id] = started
	delete(s.remoteJobs, id)
	lag, period := s.scheduler.lagOf(started, time.Now()), s.trainers.Period(submission.Model)
	s.mutex.Unlock()
	s.config.Logger.Info("batch job started", "request", id, "epoch", record.Epoch, "items", len(started.items), "listed", len(listed.Results), "texts", restored,
		"step", submission.Step, "model", submission.Model, "minVersion", submission.MinVersion, "desired", submission.Desired,
		"lagMs", lag.Milliseconds(), "periodMs", period.Milliseconds())
	go s.publish(started)
	s.WakeScheduler()
	s.heartbeatWake.set()
	s.ownerWatchWake.set()
	s.announce(id)
}

// newJob returns a job whose items are ranked, and marked as done if they have results.
// The mutex must be held.
func (s *Service) newJob(id string, submission *Submission, record jobstore.Record, listed jobstore.Listing) *job {
	appends, cancelAppends := context.WithCancel(s.base)
	ctx, cancel := context.WithCancel(appends)
	created := &job{
		id: id, submission: submission, record: record, startedAt: time.Now(), items: map[string]*item{},
		listed: listed.Results, chunks: listed.Chunks, groups: map[string]*group{}, flush: make(chan struct{}, 1), changed: make(chan struct{}),
		ctx: ctx, cancel: cancel, appends: appends, cancelAppends: cancelAppends,
	}
	if retention := s.retention(record); retention > 0 {
		elapsed := max(0, time.Since(time.UnixMilli(record.AcceptedMs)))
		created.abandonAfter = created.startedAt.Add(retention + abandonMargin - min(elapsed, retention))
	}
	created.deadline, created.completionObjective = s.deadlineOf(record)
	ranks := s.ranksOf(submission)
	for _, submitted := range submission.Items {
		itemGroup := created.groups[submitted.Group]
		if itemGroup == nil {
			itemGroup = &group{}
			created.groups[submitted.Group] = itemGroup
		}
		itemGroup.open++
		itemGroup.inherited = itemGroup.inherited || ranks[submitted.ID].Inherited
		created.order = append(created.order, submitted.ID)
		created.items[submitted.ID] = &item{
			Item: submitted, job: created, group: itemGroup, rank: ranks[submitted.ID], expectedEvents: s.lengths.ExpectedEvents(submitted.ID),
		}
	}
	for _, result := range listed.Results {
		created.markDone(result.ID)
	}
	return created
}

// ranksOf returns the rank of each item in the processing order. The mutex must be held.
func (s *Service) ranksOf(submission *Submission) map[string]placement.Rank {
	lengths := map[string]placement.Length{}
	items := make([]placement.SubmittedItem, 0, len(submission.Items))
	for _, submitted := range submission.Items {
		items = append(items, placement.SubmittedItem{ID: submitted.ID, Group: submitted.Group, ExpectedTokens: submitted.ExpectedTokens})
		if length, known := s.lengths.Get(submitted.ID); known {
			lengths[submitted.ID] = length
		}
	}
	return placement.RankItems(items, submission.Desired, lengths)
}

// markDone records that an item has a result.
func (j *job) markDone(id string) {
	finished := j.items[id]
	if finished == nil || finished.done {
		return
	}
	finished.done = true
	finished.group.open--
}

// deadlineOf returns the time by which a job should be complete, and the time from its
// acceptance until then. Both are zero if its route sets no completion objective.
func (s *Service) deadlineOf(record jobstore.Record) (time.Time, time.Duration) {
	configuration := s.config.Directory.View().Configuration
	if configuration == nil {
		return time.Time{}, 0
	}
	route := routeOf(configuration, record.Route)
	if route == nil || route.CompletionObjective == 0 {
		return time.Time{}, 0
	}
	return time.UnixMilli(record.AcceptedMs).Add(route.CompletionObjective), route.CompletionObjective
}

// retention returns the time after which items of a job may be abandoned, 0 for never.
func (s *Service) retention(record jobstore.Record) time.Duration {
	configuration := s.config.Directory.View().Configuration
	if configuration == nil {
		return 0
	}
	for _, route := range configuration.Routes {
		if route.Name == record.Route {
			return route.Retention
		}
	}
	return 0
}
