package quarantine

import (
	"context"
	"time"

	"github.com/pathtally/pathtally/internal/callers/dispatch"
)

// Admit implements dispatch.Guard.
func (s *Service) Admit(ctx context.Context, call *dispatch.Call) error {
	if call.Deferred {
		return s.admitDeferred(ctx, call)
	}
	if !s.recordKnown.Load() {
		return &dispatch.QuarantineUnknownError{RetryAfter: recordUnknownRetryAfter}
	}
	if s.suspectCount.Load() == 0 && s.table.IsEmpty() {
		return nil
	}
	request := fingerprintOf(call)
	s.awaitCrashChecks(ctx, request, s.tracker)
	remaining := s.table.Remaining(request, s.config.Clock())
	if remaining <= 0 {
		return nil
	}
	s.metrics.refused.Inc()
	return &dispatch.QuarantinedError{Fingerprint: request.String(), Remaining: remaining}
}

// awaitCrashChecks waits while pending checks of broken runs may still quarantine or delay the
// request, whose crashes are in a tracker. If that depends on crashes that only other nodes know
// of, it waits for at most maxReportWait.
func (s *Service) awaitCrashChecks(ctx context.Context, request Fingerprint, tracker *CrashTracker) {
	mustWait, checksChanged := s.mustAwaitChecks(request, tracker, false)
	if !mustWait {
		return
	}
	timer := time.NewTimer(maxReportWait)
	defer timer.Stop()
	for timedOut := false; mustWait; mustWait, checksChanged = s.mustAwaitChecks(request, tracker, timedOut) {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			timedOut = true
		case <-checksChanged:
		}
	}
}

// mustAwaitChecks reports whether a request must wait for its pending checks, and returns a
// channel that is closed when these change.
func (s *Service) mustAwaitChecks(request Fingerprint, tracker *CrashTracker, timedOut bool) (mustWait bool, checksChanged <-chan struct{}) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return mustAwaitChecks(len(tracker.Crashes(request)), s.pendingChecks[request], timedOut), s.pendingChecksChanged
}
