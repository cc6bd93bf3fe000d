package batch

import (
	"context"
	"time"

	"github.com/pathtally/pathtally/internal/jobs/journal"
	"github.com/pathtally/pathtally/internal/store/objectstore"
)

// takeOverPause is the time between tries to take a job over.
const takeOverPause = 400 * time.Millisecond

// takeOver makes this node the owner of a job whose owner is gone, unless
// another has become that meanwhile or the job has ended.
func (s *Service) takeOver(ctx context.Context, id string, gone journal.Owner) {
	defer func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		if standing := s.known[id]; standing != nil {
			standing.taking, standing.notBefore = false, time.Now().Add(takeOverPause)
		}
	}()
	if s.isUnwatched(id) && s.ownerAnswers(ctx, id, gone) {
		s.mutex.Lock()
		if standing := s.known[id]; standing != nil {
			standing.heard = time.Now()
		}
		s.mutex.Unlock()
		return
	}
	standing, err := s.config.Journal.Read(ctx, id)
	if err != nil {
		s.config.Logger.Info("batch job not taken over", "request", id, "error", err.Error())
		return
	}
	s.mutex.Lock()
	outsider := s.isOutsider(s.noteStanding(standing))
	s.mutex.Unlock()
	if standing.Ended || standing.Record.Owner != gone || outsider {
		return
	}
	taken, err := s.config.Journal.TakeOver(ctx, standing, s.config.Self)
	if err != nil {
		s.config.Logger.Info("batch job not taken over", "request", id, "error", err.Error())
		return
	}
	s.config.Logger.Info("batch job taken over", "request", id, "from", gone.Node, "epoch", taken.Record.Epoch)
	s.metrics.takeovers.Inc()
	s.loadJob(ctx, taken)
}

// loadJob reads a job that this node owns from the store and takes it up, unless it
// has ended meanwhile or is another node's.
func (s *Service) loadJob(ctx context.Context, standing journal.StoredJob) {
	for ctx.Err() == nil {
		submission, stands, err := s.readJob(ctx, standing)
		if err == nil {
			s.startConfirmed(ctx, standing, submission, stands)
			return
		}
		s.config.Logger.Error(err, "batch job not loaded", "request", standing.ID)
		objectstore.Pause(ctx, readPause)
	}
}

// startConfirmed looks at a job's record once more and starts the job if it is open
// and this node's: the reading took a second or more from a slow store, and items of
// a job that was ended meanwhile ran for three seconds.
func (s *Service) startConfirmed(ctx context.Context, read journal.StoredJob, submission *Submission, stands journal.Listing) {
	for ctx.Err() == nil {
		began := time.Now()
		standing, err := s.config.Journal.Read(ctx, read.ID)
		switch {
		case err != nil:
			s.config.Logger.Info("record of batch job not read before its start", "request", read.ID, "error", err.Error())
			objectstore.Pause(ctx, readPause)
			continue
		case standing.Ended || standing.Record.Owner != s.config.Self || standing.Record.Epoch != read.Record.Epoch:
			s.config.Logger.Info("batch job not started", "request", read.ID, "ended", standing.Ended, "owner", standing.Record.Owner.Node, "epoch", standing.Record.Epoch)
			s.mutex.Lock()
			s.noteStanding(standing)
			s.mutex.Unlock()
		default:
			s.start(read.ID, submission, standing.Record, stands, began)
		}
		return
	}
}

// readJob reads a job's submission and what stands of its results, behind which
// it sets a fence.
func (s *Service) readJob(ctx context.Context, standing journal.StoredJob) (*Submission, journal.Listing, error) {
	ctx = s.within(ctx, standing.Record)
	payload, err := s.config.Journal.Payload(ctx, standing.ID, standing.Record.Parts)
	if err != nil {
		return nil, journal.Listing{}, err
	}
	stands, err := s.config.Journal.Results(ctx, standing.ID, 0)
	if err != nil {
		return nil, journal.Listing{}, err
	}
	submission, err := s.config.Codec.Submission(payload)
	if err != nil {
		return nil, journal.Listing{}, err
	}
	stands, err = s.config.Journal.Fence(ctx, standing.ID, stands, s.writerName())
	return submission, stands, err
}

// readPause is the time between tries to read a job back.
const readPause = 150 * time.Millisecond
