package batch

import (
	"context"
	"github.com/pathtally/pathtally/internal/jobs/jobstore"
	"github.com/pathtally/pathtally/internal/jobs/ownership"
	"time"
)

// backgroundTimeout bounds the retries of a submission, or of an end, after its caller
// got a response.
const backgroundTimeout = 30 * time.Second

// acceptance is a submission that is being written to the store.
type acceptance struct {
	// tenant is the tenant that submitted the job.
	tenant string
	done   chan struct{}
	err    error
}

// Submit stores a batch job and has it run, if possible by the node that runs the jobs of
// its model. Submitting an id again is safe: a job is accepted once.
//
// It returns nil once the job is stored, a *jobstore.NotAcceptedError if the job is not
// stored and will not run, ErrOtherTenant if another tenant's job has the id, and a
// *jobstore.AcceptanceUnknownError if the outcome is unknown.
func (s *Service) Submit(ctx context.Context, request *SubmitRequest) error {
	if s.isKnown(request.ID) {
		return s.authorizeResubmission(ctx, request)
	}
	if err := s.checkReplicas(originOf(s.recordOf(request))); err != nil {
		return err
	}
	accepted, runnerErr := s.submitToRunner(ctx, request)
	if accepted {
		return nil
	}
	err := s.submitLocally(ctx, request)
	if _, notAccepted := err.(*jobstore.NotAcceptedError); notAccepted && runnerErr != nil {
		return &jobstore.AcceptanceUnknownError{Cause: runnerErr}
	}
	return err
}

// isKnown reports whether this node knows that a job is stored.
func (s *Service) isKnown(id string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.jobs[id] != nil || s.remoteJobs[id] != nil
}

// isPending reports whether an earlier submission of a job is being written, so that the job may still be
// accepted.
func (s *Service) isPending(id string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.acceptances[id] != nil
}

// submitLocally stores a batch job and runs it on this node.
func (s *Service) submitLocally(ctx context.Context, request *SubmitRequest) error {
	if s.isKnown(request.ID) {
		return s.authorizeResubmission(ctx, request)
	}
	if ctx.Err() != nil && !s.isPending(request.ID) {
		return &jobstore.NotAcceptedError{Cause: context.Cause(ctx)}
	}
	pending := s.startAcceptance(ctx, request)
	if pending.tenant != request.Tenant {
		return ErrOtherTenant
	}
	select {
	case <-pending.done:
		return pending.err
	case <-ctx.Done():
		return &jobstore.AcceptanceUnknownError{Cause: context.Cause(ctx)}
	}
}

// startAcceptance returns the pending acceptance of a job, or starts one.
func (s *Service) startAcceptance(ctx context.Context, request *SubmitRequest) *acceptance {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if pending := s.acceptances[request.ID]; pending != nil {
		return pending
	}
	pending := &acceptance{tenant: request.Tenant, done: make(chan struct{})}
	s.acceptances[request.ID] = pending
	deadline, bounded := ctx.Deadline()
	if !bounded {
		deadline = time.Now().Add(backgroundTimeout)
	}
	go s.accept(pending, deadline, request)
	return pending
}

// accept writes a submission to the store. If the outcome is unknown at the caller's
// deadline, the caller gets this outcome and the write is retried in the background.
func (s *Service) accept(pending *acceptance, deadline time.Time, request *SubmitRequest) {
	ctx, cancel := context.WithDeadline(s.base, deadline)
	defer cancel()
	id, began := request.ID, time.Now()
	record := s.recordOf(request)
	ctx = s.withRegionBounds(ctx, record)
	stored, created, err := s.config.JobStore.Accept(ctx, id, record, request.Payload)
	if err == nil && stored.Tenant != record.Tenant {
		err = ErrOtherTenant
	}
	pending.err = err
	if _, uncertain := err.(*jobstore.AcceptanceUnknownError); uncertain {
		s.config.Logger.Info("batch job outcome unknown, retrying", "request", id, "error", err.Error())
		close(pending.done)
		longer, cancelLonger := context.WithTimeout(s.base, backgroundTimeout)
		defer cancelLonger()
		stored, created, err = s.config.JobStore.Accept(s.withRegionBounds(longer, record), id, record, request.Payload)
	} else {
		defer close(pending.done)
	}
	s.finishAcceptance(request, stored, created, began, err)
}

// finishAcceptance starts an accepted job if this process owns it, and otherwise records
// its owner.
func (s *Service) finishAcceptance(request *SubmitRequest, stored jobstore.Record, created bool, began time.Time, err error) {
	id := request.ID
	s.mutex.Lock()
	delete(s.acceptances, id)
	own := err == nil && stored.Owner == s.config.Self
	if err == nil && !own {
		s.learnStored(jobstore.StoredJob{ID: id, Record: stored})
	}
	s.mutex.Unlock()
	if err != nil {
		s.config.Logger.Info("batch job not accepted", "request", id, "error", err.Error())
		return
	}
	s.config.Logger.Info("batch job accepted", "request", id, "owner", stored.Owner.Node, "items", len(request.Submission.Items),
		"bytes", len(request.Payload), "tenant", stored.Tenant)
	switch {
	case own && created && time.Since(began) < maxPromptAcceptance:
		s.start(id, request.Submission, stored, jobstore.Listing{}, began)
	case own:
		// The record is not known to be current: an earlier attempt created it, the job
		// was run here and evicted, or it may have been taken over meanwhile.
		go s.resume(id)
	}
}

// recordOf returns the record of a job that this node accepts.
func (s *Service) recordOf(request *SubmitRequest) jobstore.Record {
	return jobstore.Record{
		Owner: s.config.Self, Epoch: 1, Route: request.Route, Host: request.Host, Tenant: request.Tenant, EntryRegion: request.Entry,
		ScorerRoutes: s.scorerRoutesOf(request.Submission), Items: len(request.Submission.Items), AcceptedMs: time.Now().UnixMilli(),
	}
}

// maxPromptAcceptance bounds the duration of an acceptance after which the record is
// known to be unchanged: no node takes a job over before its owner has been silent for
// this long.
const maxPromptAcceptance = ownership.OwnerTimeout

// resume loads and starts an open job that this process owns but does not have in memory.
func (s *Service) resume(id string) {
	stored, err := s.config.JobStore.Read(s.base, id)
	if err != nil {
		// The job is taken over like any other whose owner sends no heartbeats.
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
