package quarantine

import (
	"time"

	"github.com/pathtally/pathtally/internal/callers/dispatch"
)

// ObserveBroken implements dispatch.Guard. It checks the replica in the background.
func (s *Service) ObserveBroken(run dispatch.Attempt) {
	request := fingerprintOf(run.Call)
	s.mutex.Lock()
	s.examining[request]++
	s.mutex.Unlock()
	go func() {
		s.examine(request, run)
		s.mutex.Lock()
		defer s.mutex.Unlock()
		if s.examining[request]--; s.examining[request] == 0 {
			delete(s.examining, request)
		}
		close(s.examinationEnded)
		s.examinationEnded = make(chan struct{})
	}()
}

// examine checks whether the replica of a broken run has crashed, and counts the crash
// against the request.
func (s *Service) examine(request Fingerprint, run dispatch.Attempt) {
	replica := s.endCheck.check(s.ctx, run.Endpoint)
	s.metrics.broken.WithLabelValues(string(replica)).Inc()
	counts := countsAsEnd(&run, replica)
	known := 0
	if counts {
		now := s.config.Clock()
		known = s.addEnds(request, []end{{replica: run.Endpoint.Name, at: now}}, now)
	}
	s.config.Logger.Info("run broke", "request", run.Call.ID, "fingerprint", request.String(), "replica", run.Endpoint.Name, "replicaIs", replica,
		"counts", counts, "ends", known, "tookMs", run.Duration.Milliseconds(), "received", run.BodyReceived)
	switch onBrokenRun(counts, known) {
	case startQuarantine:
		s.quarantine(request)
	case reportToKeepers:
		s.reportEnds(request, s.keepers(request))
	}
}

// addEnds adds crashes of replicas to a request and returns the number now known.
func (s *Service) addEnds(request Fingerprint, ends []end, now time.Time) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	known := len(s.ledger.Crashes(request))
	for _, next := range ends {
		known = s.ledger.Add(request, next.replica, next.at, now)
	}
	s.suspects.Store(int64(s.ledger.Len()))
	return known
}
