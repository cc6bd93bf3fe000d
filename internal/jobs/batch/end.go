package batch

import (
	"context"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/pathtally/pathtally/internal/environment"
	"github.com/pathtally/pathtally/internal/jobs/jobstore"
	"github.com/pathtally/pathtally/internal/wire"
)

// errOwnerUncertain means that the owner of a batch job may have ended it.
var errOwnerUncertain = merry.Sentinel("the owner may have ended the batch job")

// End ends a batch job: its remaining items are not run. A nil error means that the end
// is stored. A caller that gets an error may retry; after a *jobstore.EndUnknownError the job has
// ended or may still end.
func (s *Service) End(ctx context.Context, id string) error {
	s.mutex.Lock()
	held := s.jobs[id]
	endStored := held != nil && held.endStored
	s.mutex.Unlock()
	switch {
	case endStored:
		return nil
	case held != nil:
		return s.endHeld(ctx, id)
	}
	ended, ownerErr := s.endAtOwner(ctx, id)
	if ended {
		return nil
	}
	stored, err := s.writeEnd(ctx, id)
	if err != nil && ownerErr != nil && !errors.Is(err, jobstore.ErrNoSuchJob) {
		return &jobstore.EndUnknownError{Cause: err}
	}
	if err != nil {
		return err
	}
	s.endAndAnnounce(id)
	s.announce(id, stored.Record.Owner.Node)
	return nil
}

// endAtOwner asks the owner of a job to end it, and reports whether the owner has. The error is non-nil
// if it may have, or still will.
func (s *Service) endAtOwner(ctx context.Context, id string) (ended bool, err error) {
	owner, known := s.ownerOf(ctx, id)
	if !known {
		return false, nil
	}
	message, err := environment.Call(ctx, s.config.Peers, owner.Address, &wire.JobEnd{Job: id}, ownerEndTimeout)
	if _, done := message.(*wire.Done); !done || err != nil {
		return false, errOwnerUncertain
	}
	s.endAndAnnounce(id)
	return true, nil
}

// endHeld ends a job that this node runs. Its runs stop even if the store does not accept
// the end yet, and the error is then a *jobstore.EndUnknownError.
func (s *Service) endHeld(ctx context.Context, id string) error {
	s.endAndAnnounce(id)
	err := s.storeEnd(ctx, id)
	if err == nil {
		return nil
	}
	go s.persistEnd(id)
	if errors.Is(err, jobstore.ErrNoSuchJob) {
		return err
	}
	return &jobstore.EndUnknownError{Cause: err}
}

// storeEnd stores the end of a job and applies the record that the store returns: if the
// record names another owner, this node must no longer serve reads from memory.
func (s *Service) storeEnd(ctx context.Context, id string) error {
	began := time.Now()
	stored, err := s.writeEnd(ctx, id)
	if err != nil {
		return err
	}
	s.mutex.Lock()
	// The end is announced again, for the full time, however long the write took.
	s.ends.Announce(id, time.Now())
	if held := s.jobs[id]; held != nil {
		s.applyRecord(held, stored, began)
	}
	s.mutex.Unlock()
	s.heartbeatWake.set()
	s.announce(id, stored.Record.Owner.Node)
	return nil
}

// persistEnd retries storing an end that another node announced or that was not stored by
// the caller's deadline. Otherwise a later owner would resume the job if the caller
// does not retry. It continues even if another node becomes the owner.
func (s *Service) persistEnd(id string) {
	s.mutex.Lock()
	inProgress := s.endsBeingPersisted[id]
	s.endsBeingPersisted[id] = true
	s.mutex.Unlock()
	if inProgress {
		return
	}
	ctx, cancel := context.WithTimeout(s.base, backgroundTimeout)
	defer cancel()
	if err := s.storeEnd(ctx, id); err != nil {
		s.config.Logger.Info("batch job end not stored, retries stopped", "request", id, "error", err.Error())
	}
	s.mutex.Lock()
	delete(s.endsBeingPersisted, id)
	s.mutex.Unlock()
}

// writeEnd writes the end of a job to the store and returns the stored job.
func (s *Service) writeEnd(ctx context.Context, id string) (jobstore.StoredJob, error) {
	began := time.Now()
	stored, err := s.config.JobStore.End(ctx, id)
	took := time.Since(began).Milliseconds()
	if err != nil {
		s.config.Logger.Info("batch job end not stored", "request", id, "tookMs", took, "error", err.Error())
		return jobstore.StoredJob{}, err
	}
	s.config.Logger.Info("batch job end stored", "request", id, "owner", stored.Record.Owner.Node, "tookMs", took)
	return stored, nil
}

// endAndAnnounce stops a job on this node and announces its end to the other nodes.
func (s *Service) endAndAnnounce(id string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.applyEnd(id)
	s.ends.Announce(id, time.Now())
	s.heartbeatWake.set()
	s.ownerWatchWake.set()
}
