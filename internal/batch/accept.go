package batch

import (
	"context"
	"time"
)

// backgroundTime is how long a submission without an answer is pursued after
// its caller has been told that it is uncertain.
const backgroundTime = 30 * time.Second

// acceptance is a submission on its way into the store.
type acceptance struct {
	done chan struct{}
	err  error
}

// Submit makes a batch job lasting and has it run, by the node that runs the
// jobs of its model if that one answers. A nil error means that the job is kept;
// a *NotTakenError that nothing of it will run; an *UncertainError promises
// nothing. The same job is taken once whoever submits it again.
func (s *Service) Submit(ctx context.Context, id, route, host string, payload []byte, submission *Submission) error {
	if s.isKnown(id) {
		return nil
	}
	accepted, runnerErr := s.submitToRunner(ctx, id, route, host, payload, submission.Model)
	if accepted {
		return nil
	}
	err := s.submitHere(ctx, id, route, host, payload, submission)
	if _, notTaken := err.(*NotTakenError); notTaken && runnerErr != nil {
		return &UncertainError{Cause: runnerErr}
	}
	return err
}

// isKnown tells whether a batch job is known to be kept.
func (s *Service) isKnown(id string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.jobs[id] != nil || s.known[id] != nil
}

// submitHere makes a batch job lasting and runs it on this node.
func (s *Service) submitHere(ctx context.Context, id, route, host string, payload []byte, submission *Submission) error {
	s.mutex.Lock()
	if s.jobs[id] != nil || s.known[id] != nil {
		s.mutex.Unlock()
		return nil
	}
	pending := s.accepting[id]
	if pending == nil {
		pending = &acceptance{done: make(chan struct{})}
		s.accepting[id] = pending
		deadline, bounded := ctx.Deadline()
		if !bounded {
			deadline = time.Now().Add(backgroundTime)
		}
		go s.accept(pending, deadline, id, route, host, payload, submission)
	}
	s.mutex.Unlock()
	select {
	case <-pending.done:
		return pending.err
	case <-ctx.Done():
		return &UncertainError{Cause: ctx.Err()}
	}
}

// accept writes a submission, first within the caller's time and then, if it
// is uncertain, beyond it.
func (s *Service) accept(pending *acceptance, deadline time.Time, id, route, host string, payload []byte, submission *Submission) {
	ctx, cancel := context.WithDeadline(s.base, deadline)
	defer cancel()
	record := Record{Owner: s.config.Self, Epoch: 1, Route: route, Host: host, AcceptedMs: time.Now().UnixMilli()}
	standing, made, err := s.config.Journal.Accept(ctx, id, record, payload)
	pending.err = err
	if _, uncertain := err.(*UncertainError); uncertain {
		s.config.Logger.Info("batch job outcome unknown, retrying", "request", id, "error", err.Error())
		close(pending.done)
		longer, cancelLonger := context.WithTimeout(s.base, backgroundTime)
		defer cancelLonger()
		standing, made, err = s.config.Journal.Accept(longer, id, record, payload)
	} else {
		defer close(pending.done)
	}
	s.mutex.Lock()
	delete(s.accepting, id)
	own := err == nil && standing.Owner == s.config.Self
	if err == nil && !own {
		s.noteForeign(id, standing.Owner, false)
	}
	s.mutex.Unlock()
	if err != nil {
		s.config.Logger.Info("batch job not accepted", "request", id, "error", err.Error())
		return
	}
	s.config.Logger.Info("batch job accepted", "request", id, "owner", standing.Owner.Node, "items", len(submission.Items), "bytes", len(payload))
	switch {
	case own && made:
		s.start(id, submission, standing, listing{})
	case own:
		// An earlier try made it, or it was run here and forgotten.
		go s.takeUpAgain(id)
	}
}

// takeUpAgain goes on with a job of this node's that is not held, unless it has
// ended.
func (s *Service) takeUpAgain(id string) {
	standing, err := s.config.Journal.Look(s.base, id)
	if err != nil {
		// It is taken over like any job whose owner is silent.
		s.mutex.Lock()
		s.noteForeign(id, s.config.Self, false)
		s.mutex.Unlock()
		return
	}
	if standing.Ended || standing.Record.Owner != s.config.Self {
		s.mutex.Lock()
		s.noteForeign(id, standing.Record.Owner, standing.Ended)
		s.mutex.Unlock()
		return
	}
	s.loadJob(s.base, standing)
}
