package quarantine

import (
	"context"

	"github.com/pathtally/pathtally/internal/callers/dispatch"
)

// Admit implements dispatch.Guard.
func (s *Service) Admit(ctx context.Context, call *dispatch.Call) error {
	if s.suspectCount.Load() == 0 && s.table.IsEmpty() {
		return nil
	}
	request := fingerprintOf(call)
	s.awaitCrashChecks(ctx, request)
	remaining := s.table.Remaining(request, s.config.Clock())
	if remaining <= 0 {
		return nil
	}
	s.metrics.refused.Inc()
	return &dispatch.QuarantinedError{Fingerprint: request.String(), Remaining: remaining}
}

// awaitCrashChecks waits while the check of a broken run may still quarantine the request.
// Only requests that are one crash short of the quarantine wait.
func (s *Service) awaitCrashChecks(ctx context.Context, request Fingerprint) {
	for {
		s.mutex.Lock()
		isOneCrashShort := s.pendingChecks[request] > 0 && len(s.tracker.Crashes(request)) >= crashesToQuarantine-1
		checkEnded := s.checkEnded
		s.mutex.Unlock()
		if !isOneCrashShort {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-checkEnded:
		}
	}
}
