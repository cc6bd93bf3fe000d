package batch

import (
	"context"
	"github.com/pathtally/pathtally/internal/jobs/jobstore"
	"github.com/pathtally/pathtally/internal/jobs/ownership"
	"time"
)

// backgroundTimeout bounds how long a submission whose outcome is uncertain is retried
// after its caller has been answered.
const backgroundTimeout = 30 * time.Second

// acceptance is a submission on its way into the store.
type acceptance struct {
	// tenant is whose submission it is.
	tenant string
	done   chan struct{}
	err    error
}

// Submit stores a batch job and has it run, by the node that runs the jobs of its model if
// that one answers. A nil error means that the job is stored; a *jobstore.NotAcceptedError
// that nothing of it will run; ErrOtherTenant that the id is another tenant's job's; a
// *jobstore.AcceptanceUnknownError promises nothing. A job is accepted once, whoever submits it
// again.
func (s *Service) Submit(ctx context.Context, arrival *Arrival) error {
	if s.isKnown(arrival.ID) {
		return s.authorizeArrival(ctx, arrival)
	}
	if err := s.checkHomes(originOf(s.recordOf(arrival))); err != nil {
		return err
	}
	accepted, runnerErr := s.submitToRunner(ctx, arrival)
	if accepted {
		return nil
	}
	err := s.submitHere(ctx, arrival)
	if _, notTaken := err.(*jobstore.NotAcceptedError); notTaken && runnerErr != nil {
		return &jobstore.AcceptanceUnknownError{Cause: runnerErr}
	}
	return err
}

// isKnown tells whether a batch job is known to be stored.
func (s *Service) isKnown(id string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.jobs[id] != nil || s.remoteJobs[id] != nil
}

// submitHere stores a batch job and runs it on this node.
func (s *Service) submitHere(ctx context.Context, arrival *Arrival) error {
	if s.isKnown(arrival.ID) {
		return s.authorizeArrival(ctx, arrival)
	}
	pending := s.beginAcceptance(ctx, arrival)
	if pending.tenant != arrival.Tenant {
		return ErrOtherTenant
	}
	select {
	case <-pending.done:
		return pending.err
	case <-ctx.Done():
		return &jobstore.AcceptanceUnknownError{Cause: ctx.Err()}
	}
}

// beginAcceptance returns the acceptance of a job that is under way, or begins
// one.
func (s *Service) beginAcceptance(ctx context.Context, arrival *Arrival) *acceptance {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if pending := s.accepting[arrival.ID]; pending != nil {
		return pending
	}
	pending := &acceptance{tenant: arrival.Tenant, done: make(chan struct{})}
	s.accepting[arrival.ID] = pending
	deadline, bounded := ctx.Deadline()
	if !bounded {
		deadline = time.Now().Add(backgroundTimeout)
	}
	go s.accept(pending, deadline, arrival)
	return pending
}

// accept writes a submission, first within the caller's time and then, if it
// is uncertain, beyond it.
func (s *Service) accept(pending *acceptance, deadline time.Time, arrival *Arrival) {
	ctx, cancel := context.WithDeadline(s.base, deadline)
	defer cancel()
	id, began := arrival.ID, time.Now()
	record := s.recordOf(arrival)
	ctx = s.within(ctx, record)
	stored, made, err := s.config.JobStore.Accept(ctx, id, record, arrival.Payload)
	if err == nil && stored.Tenant != record.Tenant {
		err = ErrOtherTenant
	}
	pending.err = err
	if _, uncertain := err.(*jobstore.AcceptanceUnknownError); uncertain {
		s.config.Logger.Info("batch job outcome unknown, retrying", "request", id, "error", err.Error())
		close(pending.done)
		longer, cancelLonger := context.WithTimeout(s.base, backgroundTimeout)
		defer cancelLonger()
		stored, made, err = s.config.JobStore.Accept(s.within(longer, record), id, record, arrival.Payload)
	} else {
		defer close(pending.done)
	}
	s.endAcceptance(arrival, stored, made, began, err)
}

// endAcceptance starts an accepted job that is this process's, and records one that is
// another's.
func (s *Service) endAcceptance(arrival *Arrival, stored jobstore.Record, made bool, began time.Time, err error) {
	id := arrival.ID
	s.mutex.Lock()
	delete(s.accepting, id)
	own := err == nil && stored.Owner == s.config.Self
	if err == nil && !own {
		s.learnStored(jobstore.StoredJob{ID: id, Record: stored})
	}
	s.mutex.Unlock()
	if err != nil {
		s.config.Logger.Info("batch job not accepted", "request", id, "error", err.Error())
		return
	}
	s.config.Logger.Info("batch job accepted", "request", id, "owner", stored.Owner.Node, "items", len(arrival.Submission.Items),
		"bytes", len(arrival.Payload), "tenant", stored.Tenant)
	switch {
	case own && made && time.Since(began) < maxPromptAcceptance:
		s.start(id, arrival.Submission, stored, jobstore.Listing{}, began)
	case own:
		// An earlier try made it, it was run here and forgotten, or it may have been
		// taken over while the answer was on its way.
		go s.resume(id)
	}
}

// recordOf is the record of a job that this node accepts.
func (s *Service) recordOf(arrival *Arrival) jobstore.Record {
	return jobstore.Record{
		Owner: s.config.Self, Epoch: 1, Route: arrival.Route, Host: arrival.Host, Tenant: arrival.Tenant, EntryRegion: arrival.Entry,
		ScorerRoutes: s.scorersOf(arrival.Submission), Items: len(arrival.Submission.Items), AcceptedMs: time.Now().UnixMilli(),
	}
}

// maxPromptAcceptance is how long an acceptance may take for its record to be unchanged
// since: nobody takes a job over before its owner has been silent for as long.
const maxPromptAcceptance = ownership.OwnerTimeout

// resume continues a job of this process that it does not hold, unless the job has ended.
func (s *Service) resume(id string) {
	stored, err := s.config.JobStore.Read(s.base, id)
	if err != nil {
		// It is taken over like any job whose owner is silent.
		s.mutex.Lock()
		s.learnRemote(id, s.config.Self, 0, false)
		s.mutex.Unlock()
		return
	}
	if stored.Ended || stored.Record.Owner != s.config.Self {
		s.mutex.Lock()
		s.learnStored(stored)
		s.mutex.Unlock()
		return
	}
	s.loadJob(s.base, stored)
}
