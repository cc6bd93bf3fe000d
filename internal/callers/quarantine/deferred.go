package quarantine

import (
	"context"
	"time"

	"github.com/pathtally/pathtally/internal/callers/dispatch"
)

// Deferred calls belong to work that the deployment has accepted, so they are never quarantined.
// Replicas that crash under one delay its next attempt: most of these crashes have another
// cause, and the delay limits the harm of a call that is the cause.

// admitDeferred returns a *dispatch.CrashBackoffError while replicas that crashed under a
// deferred call delay it.
func (s *Service) admitDeferred(ctx context.Context, call *dispatch.Call) error {
	if s.suspectCount.Load() == 0 {
		return nil
	}
	request := fingerprintOf(call)
	s.awaitCrashChecks(ctx, request, s.deferredTracker)
	now := s.config.Clock()
	s.mutex.Lock()
	crashes, last := s.deferredTracker.Crashes(request), s.deferredTracker.LastSeen(request)
	s.mutex.Unlock()
	remaining := crashBackoff(len(crashes)) - now.Sub(last)
	if remaining <= 0 {
		return nil
	}
	s.metrics.delayed.Inc()
	return &dispatch.CrashBackoffError{Fingerprint: request.String(), Crashes: len(crashes), Remaining: remaining}
}

// addDeferredCrash adds the crash of a replica to a deferred call and returns the number now
// known to this node.
func (s *Service) addDeferredCrash(request Fingerprint, replica string, now time.Time) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	count := s.deferredTracker.Add(request, replica, now, now)
	s.updateSuspectCount()
	return count
}

// clearDeferred drops the crashes of a deferred call that succeeded.
func (s *Service) clearDeferred(request Fingerprint) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.deferredTracker.Crashes(request)) > 0 {
		s.deferredTracker.RecordSuccess(request, s.config.Clock())
	}
}
