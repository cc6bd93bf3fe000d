package quarantine

import (
	"time"

	"github.com/pathtally/pathtally/internal/callers/dispatch"
)

// ObserveBroken implements dispatch.Guard. It checks the replica in the background.
func (s *Service) ObserveBroken(attempt dispatch.Attempt) {
	request := fingerprintOf(attempt.Call)
	s.mutex.Lock()
	s.pendingChecks[request]++
	s.mutex.Unlock()
	go func() {
		s.checkCrash(request, attempt)
		s.mutex.Lock()
		defer s.mutex.Unlock()
		if s.pendingChecks[request]--; s.pendingChecks[request] == 0 {
			delete(s.pendingChecks, request)
		}
		close(s.checkEnded)
		s.checkEnded = make(chan struct{})
	}()
}

// checkCrash checks whether the replica of a broken run has crashed, and counts the crash
// against the request.
func (s *Service) checkCrash(request Fingerprint, attempt dispatch.Attempt) {
	liveness := s.crashDetector.check(s.ctx, attempt.Endpoint)
	s.metrics.broken.WithLabelValues(string(liveness)).Inc()
	counts := countsAsCrash(&attempt, liveness)
	crashCount := 0
	if counts {
		now := s.config.Clock()
		crashCount = s.addCrashes(request, []crash{{replica: attempt.Endpoint.Name, at: now}}, now)
	}
	s.config.Logger.Info("run broken", "request", attempt.Call.ID, "fingerprint", request.String(), "replica", attempt.Endpoint.Name, "replicaIs", liveness,
		"counts", counts, "ends", crashCount, "tookMs", attempt.Duration.Milliseconds(), "received", attempt.BodyReceived)
	switch onBrokenRun(counts, crashCount) {
	case startQuarantine:
		s.startQuarantine(request)
	case reportToAggregators:
		s.reportCrashes(request, s.aggregators(request))
	}
}

// addCrashes adds crashes of replicas to a request and returns the number now known.
func (s *Service) addCrashes(request Fingerprint, crashes []crash, now time.Time) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	count := len(s.tracker.Crashes(request))
	for _, crash := range crashes {
		count = s.tracker.Add(request, crash.replica, crash.at, now)
	}
	s.suspectCount.Store(int64(s.tracker.Len()))
	return count
}
