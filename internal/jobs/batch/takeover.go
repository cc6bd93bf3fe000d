package batch

import (
	"context"
	"errors"
	"time"

	"github.com/pathtally/pathtally/internal/jobs/jobstore"
	"github.com/pathtally/pathtally/internal/jobs/ownership"
	"github.com/pathtally/pathtally/internal/store/objectstore"
)

// takeoverRetryDelay is the delay before a takeover that failed is tried again.
const takeoverRetryDelay = 400 * time.Millisecond

// takeOver makes this node the owner of a job whose owner is silent, unless the job has
// ended or has another owner meanwhile.
func (s *Service) takeOver(ctx context.Context, id string, orphaned orphan) {
	defer func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		if remote := s.remoteJobs[id]; remote != nil {
			remote.takingOver, remote.retryAt = false, time.Now().Add(takeoverRetryDelay)
		}
	}()
	if orphaned.probeOwner && s.ownerRunsJob(ctx, id, orphaned.owner) {
		s.mutex.Lock()
		if remote := s.remoteJobs[id]; remote != nil {
			remote.lastHeartbeat = time.Now()
		}
		s.mutex.Unlock()
		return
	}
	stored, err := s.config.JobStore.Read(ctx, id)
	if err != nil {
		s.config.Logger.Info("batch job not taken over", "request", id, "error", err.Error())
		return
	}
	s.mutex.Lock()
	outside := s.isOutsideAllowedRegions(s.learnStored(stored))
	s.mutex.Unlock()
	if may, _ := ownership.DecideReplace(stored, orphaned.owner, outside); !may {
		return
	}
	taken, err := s.config.JobStore.TakeOver(ctx, stored, s.config.Self)
	if err != nil {
		s.config.Logger.Info("batch job not taken over", "request", id, "error", err.Error())
		return
	}
	s.config.Logger.Info("batch job taken over", "request", id, "from", orphaned.owner.Node, "epoch", taken.Record.Epoch)
	s.metrics.takeovers.Inc()
	s.loadJob(ctx, taken)
}

// loadJob reads a job that this process owns from the store and starts it, unless it has
// ended or has another owner meanwhile.
func (s *Service) loadJob(ctx context.Context, stored jobstore.StoredJob) {
	for ctx.Err() == nil {
		submission, listed, err := s.readJob(ctx, stored)
		if err == nil {
			s.startConfirmed(ctx, stored, submission, listed)
			return
		}
		s.config.Logger.Error(err, "batch job not loaded", "request", stored.ID)
		if errors.Is(err, jobstore.ErrAltered) {
			return
		}
		objectstore.SleepWithJitter(ctx, readRetryDelay)
	}
}

// startConfirmed reads a job's record once more and starts the job if it is open and this
// process still owns it. Reading the job may have taken seconds, and no run may start
// after an end.
func (s *Service) startConfirmed(ctx context.Context, loaded jobstore.StoredJob, submission *Submission, listed jobstore.Listing) {
	for ctx.Err() == nil {
		began := time.Now()
		stored, err := s.config.JobStore.Read(ctx, loaded.ID)
		if err != nil {
			s.config.Logger.Info("batch job record not read before start", "request", loaded.ID, "error", err.Error())
			objectstore.SleepWithJitter(ctx, readRetryDelay)
			continue
		}
		if may, _ := ownership.DecideStart(stored, s.config.Self, loaded.Record.Epoch); !may {
			s.config.Logger.Info("batch job not started", "request", loaded.ID, "ended", stored.Ended, "owner", stored.Record.Owner.Node, "epoch", stored.Record.Epoch)
			s.mutex.Lock()
			s.learnStored(stored)
			s.mutex.Unlock()
			return
		}
		s.start(loaded.ID, submission, stored.Record, listed, began)
		return
	}
}

// readJob reads a job's submission and results, and writes a fence after the results.
func (s *Service) readJob(ctx context.Context, stored jobstore.StoredJob) (*Submission, jobstore.Listing, error) {
	ctx = s.withRegionBounds(ctx, stored.Record)
	payload, err := s.config.JobStore.Payload(ctx, stored.ID, stored.Record)
	if err != nil {
		return nil, jobstore.Listing{}, err
	}
	listed, err := s.config.JobStore.Results(ctx, stored.ID, 0)
	if err != nil {
		return nil, jobstore.Listing{}, err
	}
	submission, err := s.config.Codec.DecodeSubmission(payload)
	if err != nil {
		return nil, jobstore.Listing{}, err
	}
	listed, err = s.config.JobStore.Fence(ctx, stored.ID, listed, s.writerID())
	return submission, listed, err
}

// readRetryDelay is the delay before a failed read of the store is retried.
const readRetryDelay = 150 * time.Millisecond
