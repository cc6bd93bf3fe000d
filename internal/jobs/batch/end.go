package batch

import (
	"context"
	"time"

	"github.com/pathtally/pathtally/internal/environment"
	"github.com/pathtally/pathtally/internal/jobs/jobstore"
	"github.com/pathtally/pathtally/internal/wire"
)

// End ends a batch job: nothing more of it is run. With a nil error the store has the end;
// a caller that gets another one repeats the call.
func (s *Service) End(ctx context.Context, id string) error {
	s.mutex.Lock()
	held := s.jobs[id]
	kept := held != nil && held.endStored
	s.mutex.Unlock()
	switch {
	case kept:
		return nil
	case held != nil:
		return s.endHeld(ctx, id)
	case s.endAtOwner(ctx, id):
		return nil
	}
	stored, err := s.recordEnd(ctx, id)
	if err != nil {
		return err
	}
	s.endAndAnnounce(id)
	s.announce(id, stored.Record.Owner.Node)
	return nil
}

// endAtOwner asks the owner of a job to end it, and tells whether it has.
func (s *Service) endAtOwner(ctx context.Context, id string) bool {
	owner, known := s.ownerOf(ctx, id)
	if !known {
		return false
	}
	message, err := environment.Ask(ctx, s.config.Peers, owner.Address, &wire.JobEnd{Job: id}, ownerEndTimeout)
	if _, done := message.(*wire.Done); !done || err != nil {
		return false
	}
	s.endAndAnnounce(id)
	return true
}

// endHeld ends a job that this node runs. No more of it runs from now on, whatever
// the store answers.
func (s *Service) endHeld(ctx context.Context, id string) error {
	s.endAndAnnounce(id)
	err := s.storeEnd(ctx, id)
	if err != nil {
		go s.persistEnd(id)
	}
	return err
}

// storeEnd stores the end of a job. The store's answer names the owner: a former owner
// that does not know its successor must not go on answering from memory.
func (s *Service) storeEnd(ctx context.Context, id string) error {
	began := time.Now()
	stored, err := s.recordEnd(ctx, id)
	if err != nil {
		return err
	}
	s.mutex.Lock()
	// It is announced from now on, however long the write took.
	s.ends.Announce(id, time.Now())
	if held := s.jobs[id]; held != nil {
		s.applyRecord(held, stored, began)
	}
	s.mutex.Unlock()
	s.heartbeatWake.set()
	s.announce(id, stored.Record.Owner.Node)
	return nil
}

// persistEnd stores an end that the store did not take within its caller's time, or that
// another node announced: the caller may not repeat it, and a later owner would run the
// job on. It goes on when the job has become another node's.
func (s *Service) persistEnd(id string) {
	s.mutex.Lock()
	pursued := s.endsBeingPersisted[id]
	s.endsBeingPersisted[id] = true
	s.mutex.Unlock()
	if pursued {
		return
	}
	ctx, cancel := context.WithTimeout(s.base, backgroundTimeout)
	defer cancel()
	if err := s.storeEnd(ctx, id); err != nil {
		s.config.Logger.Info("end of batch job given up", "request", id, "error", err.Error())
	}
	s.mutex.Lock()
	delete(s.endsBeingPersisted, id)
	s.mutex.Unlock()
}

// recordEnd writes the end of a job to the store, and returns the job as stored then.
func (s *Service) recordEnd(ctx context.Context, id string) (jobstore.StoredJob, error) {
	began := time.Now()
	stored, err := s.config.JobStore.End(ctx, id)
	took := time.Since(began).Milliseconds()
	if err != nil {
		s.config.Logger.Info("end of batch job not recorded", "request", id, "tookMs", took, "error", err.Error())
		return jobstore.StoredJob{}, err
	}
	s.config.Logger.Info("end of batch job recorded", "request", id, "owner", stored.Record.Owner.Node, "tookMs", took)
	return stored, nil
}

// endAndAnnounce stops a job here and has its end announced to the other nodes.
func (s *Service) endAndAnnounce(id string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.endLocally(id)
	s.ends.Announce(id, time.Now())
	s.heartbeatWake.set()
	s.ownerWatchWake.set()
}
