package cleanup

import (
	"context"
	"errors"
	"time"

	"github.com/pathtally/pathtally/internal/jobs/jobstore"
	"github.com/pathtally/pathtally/internal/store/objectstore"
)

const (
	// maxInterval is the longest time between two passes; with a short retention it is a quarter of
	// that. startDelayIntervals is the number of intervals from the start of a node to its first pass.
	maxInterval         = 30 * time.Second
	intervalsARetention = 4
	startDelayIntervals = 4
	// pageInterval is the time between two pages of a listing, writeInterval that between two writes.
	// The store answers some hundred writes a second for all nodes.
	pageInterval  = 20 * time.Millisecond
	writeInterval = 25 * time.Millisecond
	// batchLength is the number of jobs that the ledger lists at a time.
	batchLength = 50
)

// Service deletes ended batch jobs while this node holds the duty lease.
type Service struct {
	config  Config
	tracker *tracker
	ledger  ledger
	metrics *metrics
}

// NewService returns a Service that deletes nothing before Run is called.
func NewService(config Config) *Service {
	if config.Retention <= 0 {
		config.Retention = DefaultRetention
	}
	return &Service{
		config: config, tracker: newTracker(config.Retention), ledger: ledger{store: config.Store, holder: config.Node}, metrics: newMetrics(config.Registry),
	}
}

// Run deletes ended jobs until the context ends.
func (s *Service) Run(ctx context.Context) {
	interval := passInterval(s.config.Retention)
	for delay := startDelayIntervals * interval; objectstore.SleepWithJitter(ctx, delay); delay = interval {
		if err := s.pass(ctx); err != nil {
			s.config.Logger.Info("deletion of ended batch jobs interrupted", "error", err.Error())
		}
		s.config.Holder.MarkIdle()
		s.metrics.waiting.Set(float64(len(s.tracker.jobs)))
	}
}

// passInterval returns the time between two passes.
func passInterval(retention time.Duration) time.Duration {
	if retention <= 0 {
		retention = DefaultRetention
	}
	return min(maxInterval, retention/intervalsARetention)
}

// pass completes the deletions of the ledger, lists the jobs, and deletes those whose retention is over.
func (s *Service) pass(ctx context.Context) error {
	if s.config.Suspended != nil && s.config.Suspended() || !s.config.Holder.Hold(ctx) {
		// Another holder deletes jobs; what was seen until now may be outdated later.
		s.tracker, s.ledger.loaded = newTracker(s.config.Retention), false
		return nil
	}
	if err := s.ledger.load(ctx); err != nil {
		return err
	}
	if err := s.deleteAll(ctx, s.ledger.jobs); err != nil {
		return err
	}
	if err := s.list(ctx); err != nil {
		return err
	}
	return s.deleteDue(ctx)
}

// list records the ended jobs in the store.
func (s *Service) list(ctx context.Context) error {
	invalid := 0
	for after := ""; ; {
		page, err := s.config.JobStore.ReadEnded(ctx, after, objectstore.MayBeStale)
		if err != nil {
			return err
		}
		invalid += page.Invalid
		now := s.config.Clock()
		for _, job := range page.Jobs {
			s.tracker.observe(job, now)
		}
		if s.tracker.isFull() {
			return nil
		}
		if page.Next == "" {
			s.metrics.invalidRecords.Set(float64(invalid))
			s.tracker.endPass()
			return nil
		}
		after = page.Next
		if !objectstore.Sleep(ctx, pageInterval) {
			return ctx.Err()
		}
	}
}

// deleteDue deletes the jobs whose retention is over, batchLength at a time.
func (s *Service) deleteDue(ctx context.Context) error {
	for {
		due := s.tracker.due(s.config.Clock(), batchLength)
		if len(due) == 0 && len(s.ledger.jobs) == 0 {
			return nil
		}
		if err := s.write(ctx, func() error { return s.ledger.replace(ctx, due) }); err != nil {
			return err
		}
		if err := s.deleteAll(ctx, due); err != nil {
			return err
		}
	}
}

// deleteAll deletes jobs that the ledger lists.
func (s *Service) deleteAll(ctx context.Context, jobs []jobstore.EndedJob) error {
	for _, job := range jobs {
		if err := s.delete(ctx, job); err != nil {
			return err
		}
		s.tracker.drop(job.ID)
	}
	return nil
}

// delete deletes a job unless it has changed. The error is non-nil if something of it may be left.
func (s *Service) delete(ctx context.Context, job jobstore.EndedJob) error {
	err := s.deleteObject(ctx, jobstore.ObjectName{Kind: jobstore.KindJobs, Name: job.ID, Revision: job.Revision})
	var conflict *objectstore.ConflictError
	if errors.As(err, &conflict) {
		s.config.Logger.Info("ended batch job has changed and is not deleted", "request", job.ID)
		return nil
	}
	if err != nil {
		return err
	}
	objects, err := s.config.JobStore.ObjectsWithoutRecord(ctx, job.ID)
	if err != nil {
		return err
	}
	for _, object := range objects {
		// An object that has changed is not the one that was listed.
		if err := s.deleteObject(ctx, object); err != nil && !errors.As(err, &conflict) {
			return err
		}
	}
	s.metrics.jobs.Inc()
	s.config.Logger.Info("ended batch job deleted", "request", job.ID, "objects", len(objects)+1)
	return nil
}

// deleteObject deletes an object at its revision. An object that does not exist is deleted already.
func (s *Service) deleteObject(ctx context.Context, object jobstore.ObjectName) error {
	err := s.write(ctx, func() error { return s.config.Store.Delete(ctx, object.Kind, object.Name, object.Revision) })
	if errors.Is(err, objectstore.ErrNotFound) {
		return nil
	}
	if err == nil {
		s.metrics.objects.Inc()
	}
	return err
}

// write makes one write under the lease, no sooner than writeInterval after the last one.
func (s *Service) write(ctx context.Context, send func() error) error {
	if !objectstore.Sleep(ctx, writeInterval) {
		return ctx.Err()
	}
	if !s.config.Holder.Hold(ctx) {
		return errNotHolder
	}
	done, permitted := s.config.Holder.BeginCall()
	if !permitted {
		return errNotHolder
	}
	err := send()
	var unanswered *objectstore.UnansweredError
	done(!errors.As(err, &unanswered))
	return err
}
