package quarantine

import (
	"context"

	"github.com/pathtally/pathtally/internal/callers/dispatch"
)

// Admit implements dispatch.Guard.
func (s *Service) Admit(ctx context.Context, call *dispatch.Call) error {
	if s.suspects.Load() == 0 && s.table.IsEmpty() {
		return nil
	}
	request := fingerprintOf(call)
	s.awaitExamination(ctx, request)
	left := s.table.TimeLeft(request, s.config.Clock())
	if left <= 0 {
		return nil
	}
	s.metrics.refused.Inc()
	return &dispatch.QuarantinedError{Fingerprint: request.String(), Remaining: left}
}

// awaitExamination waits while the check of a broken run may still quarantine the request.
// Only requests that are one crash short of the quarantine wait.
func (s *Service) awaitExamination(ctx context.Context, request Fingerprint) {
	for {
		s.mutex.Lock()
		isOneEndShort := s.examining[request] > 0 && len(s.ledger.Crashes(request)) >= endsToQuarantine-1
		ended := s.examinationEnded
		s.mutex.Unlock()
		if !isOneEndShort {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ended:
		}
	}
}
