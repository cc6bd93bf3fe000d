package batch

import (
	"context"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/pathtally/pathtally/internal/cluster/rendezvous"
	"github.com/pathtally/pathtally/internal/environment"
	"github.com/pathtally/pathtally/internal/jobs/jobstore"
	"github.com/pathtally/pathtally/internal/wire"
)

const (
	// offerTimeout bounds the wait for a node's reply to an offer of a job. It covers
	// several round trips between zones and is short compared with the deadline of a
	// submission, so that a node that is down costs little.
	offerTimeout = 150 * time.Millisecond
	// maxOffers is the number of nodes asked before this one runs a job itself.
	maxOffers = 2
	// runnerTimeShare is the share of the caller's remaining time spent waiting for the
	// runner. The rest allows this node to accept the job itself.
	runnerTimeShare = 0.5
)

var (
	// ErrLeaving means that the node accepts no more batch jobs.
	ErrLeaving = merry.Sentinel("node is leaving")
	// errRunnerUncertain means that another node may still accept a batch job.
	errRunnerUncertain = merry.Sentinel("another node may accept the batch job")
)

// submitToRunner submits a batch job to the node that runs the jobs of its model. That
// node knows the other items of the model without asking other nodes, keeps connections
// to the replicas from step to step, and ran resubmitted items in their earlier jobs.
//
// False means that this node is to accept the job itself. The error is then non-nil if
// the other node may have accepted it already.
func (s *Service) submitToRunner(ctx context.Context, request *SubmitRequest) (bool, error) {
	id := request.ID
	address, found := s.findRunner(ctx, request)
	if !found {
		return false, nil
	}
	submit := &wire.JobSubmit{Job: id, Route: request.Route, Host: request.Host, Payload: request.Payload, Tenant: request.Tenant, Entry: request.Entry}
	reply, err := environment.Call(ctx, s.config.Peers, address, submit, time.Duration(runnerTimeShare*float64(remainingTime(ctx))))
	if err != nil {
		s.config.Logger.Info("no reply from batch job runner", "request", id, "runner", address, "error", err.Error())
		return false, errRunnerUncertain
	}
	submitted, ok := reply.(*wire.JobSubmitted)
	switch {
	case !ok || submitted.Outcome == wire.OutcomeUnknown:
		return false, errRunnerUncertain
	case submitted.Outcome == wire.OutcomeNotRun:
		// This node may reach the store even if the runner could not.
		s.config.Logger.Info("batch job rejected by runner", "request", id, "runner", address, "reason", submitted.Detail)
		return false, nil
	}
	return true, nil
}

// findRunner returns the address of the first node, in rank for the jobs of a model, that
// may have the job's bodies and accepts an offer. It returns false if that is this node
// or no such node replies.
func (s *Service) findRunner(ctx context.Context, request *SubmitRequest) (string, bool) {
	model := request.Submission.Model
	if model == "" {
		return "", false
	}
	asked := 0
	from := originOf(s.recordOf(request))
	for _, candidate := range s.allowedNodes(&from, s.rankedRunners(model)) {
		if candidate == s.config.Self.Node || asked >= maxOffers {
			return "", false
		}
		peer, known := s.config.PeerTable.Get(candidate)
		if !known || s.offerBackoff.isActive(candidate) {
			continue
		}
		asked++
		reply, err := environment.Call(ctx, s.config.Peers, peer.Address, &wire.JobOffer{Job: request.ID}, offerTimeout)
		if _, accepted := reply.(*wire.Done); accepted && err == nil {
			return peer.Address, true
		}
		s.offerBackoff.start(candidate)
	}
	return "", false
}

// rankedRunners returns the nodes in their rank for a model's jobs. Nodes with more
// processor capacity come first, since the start of a step uses most of what a small node
// has.
func (s *Service) rankedRunners(model string) []string {
	capacities := s.config.PeerTable.Capacities()
	candidates := make([]rendezvous.Candidate, 0, len(capacities))
	for node, capacity := range capacities {
		candidates = append(candidates, rendezvous.Candidate{ID: node, Capacity: capacity})
	}
	ranked := make([]string, 0, len(candidates))
	for _, candidate := range rendezvous.RankByCapacity(model, candidates) {
		ranked = append(ranked, candidate.ID)
	}
	return ranked
}

// remainingTime returns the time until a context's deadline, or backgroundTimeout if it
// has none.
func remainingTime(ctx context.Context) time.Duration {
	if deadline, bounded := ctx.Deadline(); bounded {
		return time.Until(deadline)
	}
	return backgroundTimeout
}

// handleOffer replies to another node whether this one would run a batch job.
func (s *Service) handleOffer(reply func(wire.Message)) {
	s.mutex.Lock()
	unavailable := s.leaving || !s.recovered
	s.mutex.Unlock()
	if unavailable {
		reply(&wire.Failure{Detail: ErrLeaving.Error()})
		return
	}
	reply(&wire.Done{})
}

// handleSubmit accepts a batch job that another node received.
func (s *Service) handleSubmit(request *wire.JobSubmit, reply func(wire.Message)) {
	submission, err := s.config.Codec.DecodeSubmission(request.Payload)
	if err != nil {
		reply(&wire.JobSubmitted{Outcome: wire.OutcomeNotRun, Detail: err.Error()})
		return
	}
	ctx, cancel := context.WithTimeout(s.base, submitTimeout)
	defer cancel()
	submit := &SubmitRequest{
		ID: request.Job, Route: request.Route, Host: request.Host, Tenant: request.Tenant, Entry: request.Entry, Payload: request.Payload,
		Submission: submission,
	}
	if err := s.checkOffered(submit); err != nil {
		reply(&wire.JobSubmitted{Outcome: wire.OutcomeNotRun, Detail: err.Error()})
		return
	}
	err = s.submitLocally(ctx, submit)
	var unknown *jobstore.AcceptanceUnknownError
	var notAccepted *jobstore.NotAcceptedError
	switch {
	case err == nil:
		reply(&wire.JobSubmitted{Outcome: wire.OutcomeDone})
	case errors.As(err, &unknown):
		// Whatever the cause is.
		reply(&wire.JobSubmitted{Outcome: wire.OutcomeUnknown, Detail: err.Error()})
	case errors.As(err, &notAccepted), errors.Is(err, ErrOtherTenant):
		reply(&wire.JobSubmitted{Outcome: wire.OutcomeNotRun, Detail: err.Error()})
	default:
		reply(&wire.JobSubmitted{Outcome: wire.OutcomeUnknown, Detail: err.Error()})
	}
}
