package batch

import (
	"context"
	"time"

	"github.com/pathtally/pathtally/internal/environment"
	"github.com/pathtally/pathtally/internal/jobs/journal"
	"github.com/pathtally/pathtally/internal/wire"
)

// End ends a batch job: nothing more of it is run. With a nil error the store has the
// end; a caller that gets another one repeats it.
func (s *Service) End(ctx context.Context, id string) error {
	s.mutex.Lock()
	held := s.jobs[id]
	kept := held != nil && held.endKept
	s.mutex.Unlock()
	switch {
	case kept:
		return nil
	case held != nil:
		return s.endHeld(ctx, id)
	case s.endAtOwner(ctx, id):
		return nil
	}
	standing, err := s.recordEnd(ctx, id)
	if err != nil {
		return err
	}
	s.noteEnded(id)
	s.announce(id, standing.Record.Owner.Node)
	return nil
}

// endAtOwner has the owner of a job end it, and tells whether it has.
func (s *Service) endAtOwner(ctx context.Context, id string) bool {
	owner, known := s.ownerOf(ctx, id)
	if !known {
		return false
	}
	message, err := environment.Ask(ctx, s.config.Peers, owner.Address, &wire.JobEnd{Job: id}, endTime)
	if _, done := message.(*wire.Done); !done || err != nil {
		return false
	}
	s.noteEnded(id)
	return true
}

// endHeld ends a job that this node runs. No more of it runs from now on, whatever
// the store answers.
func (s *Service) endHeld(ctx context.Context, id string) error {
	s.noteEnded(id)
	err := s.keepEnd(ctx, id)
	if err != nil {
		go s.pursueEnd(id)
	}
	return err
}

// keepEnd makes the end of a job lasting. The store's answer tells whose the job is: a
// former owner that does not know of its successor must not answer from what it held.
func (s *Service) keepEnd(ctx context.Context, id string) error {
	began := time.Now()
	standing, err := s.recordEnd(ctx, id)
	if err != nil {
		return err
	}
	s.mutex.Lock()
	// The others are told of it from now on, however long it took.
	s.ends.learnHere(id)
	if held := s.jobs[id]; held != nil {
		s.takeRecord(held, standing, began)
	}
	s.mutex.Unlock()
	s.toTell.set()
	s.announce(id, standing.Record.Owner.Node)
	return nil
}

// pursueEnd makes an end lasting that the store did not take within its caller's time,
// or that this node was only told of: the caller may not repeat it, and whoever takes
// the job up later would run it on. It goes on when the job is another node's.
func (s *Service) pursueEnd(id string) {
	s.mutex.Lock()
	pursued := s.pursued[id]
	s.pursued[id] = true
	s.mutex.Unlock()
	if pursued {
		return
	}
	ctx, cancel := context.WithTimeout(s.base, backgroundTime)
	defer cancel()
	if err := s.keepEnd(ctx, id); err != nil {
		s.config.Logger.Info("end of batch job given up", "request", id, "error", err.Error())
	}
	s.mutex.Lock()
	delete(s.pursued, id)
	s.mutex.Unlock()
}

// recordEnd has the store keep the end of a job, and returns the job as it stands.
func (s *Service) recordEnd(ctx context.Context, id string) (journal.StoredJob, error) {
	began := time.Now()
	standing, err := s.config.Journal.End(ctx, id)
	took := time.Since(began).Milliseconds()
	if err != nil {
		s.config.Logger.Info("end of batch job not recorded", "request", id, "tookMs", took, "error", err.Error())
		return journal.StoredJob{}, err
	}
	s.config.Logger.Info("end of batch job recorded", "request", id, "owner", standing.Record.Owner.Node, "tookMs", took)
	return standing, nil
}

// noteEnded stops a job here and has the other nodes told.
func (s *Service) noteEnded(id string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.endLocally(id)
	s.ends.learnHere(id)
	s.toTell.set()
	s.toWatch.set()
}
