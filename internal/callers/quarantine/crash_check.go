package quarantine

import (
	"time"

	"github.com/pathtally/pathtally/internal/callers/dispatch"
)

// ObserveBroken implements dispatch.Guard. It checks the replica in the background.
func (s *Service) ObserveBroken(attempt dispatch.Attempt) {
	request := fingerprintOf(attempt.Call)
	s.updatePendingChecks(request, func(pending *pendingChecks) { pending.probes++ })
	go func() {
		if s.checkCrash(request, attempt) != reportToAggregators {
			s.updatePendingChecks(request, func(pending *pendingChecks) { pending.probes-- })
			return
		}
		s.updatePendingChecks(request, func(pending *pendingChecks) { pending.probes--; pending.reports++ })
		s.reportToAggregators(request)
		s.updatePendingChecks(request, func(pending *pendingChecks) { pending.reports-- })
	}()
}

// checkCrash checks whether the replica of a broken run has crashed and counts the crash against
// the request. It starts the quarantine if the request has reached crashesToQuarantine. It
// returns the reaction to the broken run; the caller handles reportToAggregators. There is none
// to a broken run of a deferred call, whose crashes concern this node alone.
func (s *Service) checkCrash(request Fingerprint, attempt dispatch.Attempt) reaction {
	liveness := s.crashDetector.check(s.ctx, attempt.Endpoint)
	s.metrics.broken.WithLabelValues(string(liveness)).Inc()
	counts := countsAsCrash(&attempt, liveness)
	crashCount, now := 0, s.config.Clock()
	switch {
	case counts && attempt.Call.Deferred:
		crashCount = s.addDeferredCrash(request, attempt.Endpoint.Name, now)
	case counts:
		crashCount = s.addCrashes(request, []crash{{replica: attempt.Endpoint.Name, at: now}}, now)
	}
	s.config.Logger.Info("run broken", "request", attempt.Call.ID, "fingerprint", request.String(), "replica", attempt.Endpoint.Name, "replicaIs", liveness,
		"counts", counts, "ends", crashCount, "tookMs", attempt.Duration.Milliseconds(), "received", attempt.BodyReceived)
	if attempt.Call.Deferred {
		return ignore
	}
	reaction := onBrokenRun(counts, crashCount)
	if reaction == startQuarantine {
		s.startQuarantine(request)
	}
	return reaction
}

// addCrashes adds crashes of replicas to a request and returns the number now known.
func (s *Service) addCrashes(request Fingerprint, crashes []crash, now time.Time) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	count := len(s.tracker.Crashes(request))
	for _, crash := range crashes {
		count = s.tracker.Add(request, crash.replica, crash.at, now)
	}
	s.updateSuspectCount()
	return count
}
