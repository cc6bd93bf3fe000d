package quarantine

import "github.com/pathtally/pathtally/internal/callers/dispatch"

// startQuarantine puts a request in quarantine, reports its crashes to all nodes and schedules
// the write to the store.
func (s *Service) startQuarantine(request Fingerprint) {
	if !s.quarantineLocally(request) {
		return
	}
	s.reportCrashes(request, s.config.Nodes())
	s.recorder.setPending(request, pendingChange{start: s.config.Clock()})
}

// quarantineLocally puts a request in quarantine at this node only. It returns false if the
// request already was in quarantine.
func (s *Service) quarantineLocally(request Fingerprint) bool {
	now := s.config.Clock()
	if !s.table.Add(request, now.Add(s.config.Duration), now) {
		return false
	}
	s.metrics.quarantined.Inc()
	s.config.Logger.Info("request quarantined because it crashed replicas", "fingerprint", request.String(), "spanMs", s.config.Duration.Milliseconds())
	return true
}

// ObserveResponse implements dispatch.Guard.
func (s *Service) ObserveResponse(call *dispatch.Call, status int) {
	if s.suspectCount.Load() == 0 && s.table.IsEmpty() {
		return
	}
	if !clearsRequest(status) {
		return
	}
	request := fingerprintOf(call)
	if call.Deferred {
		s.clearDeferred(request)
		return
	}
	if !s.isSuspectOrQuarantined(request) {
		return
	}
	wasSuspect, wasQuarantined := s.resetRequest(request)
	switch {
	case wasQuarantined:
		s.recorder.setPending(request, pendingChange{remove: true})
		s.reportSuccess(request, s.config.Nodes())
	case wasSuspect:
		s.reportSuccess(request, s.aggregators(request))
	}
}

// isSuspectOrQuarantined reports whether a request has crashes or is in quarantine.
func (s *Service) isSuspectOrQuarantined(request Fingerprint) bool {
	if s.table.Remaining(request, s.config.Clock()) > 0 {
		return true
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.tracker.Crashes(request)) > 0
}

// resetRequest drops the crashes of a request that succeeded and takes it out of quarantine.
func (s *Service) resetRequest(request Fingerprint) (wasSuspect, wasQuarantined bool) {
	s.mutex.Lock()
	wasSuspect = s.tracker.RecordSuccess(request, s.config.Clock())
	s.updateSuspectCount()
	s.mutex.Unlock()
	wasQuarantined = s.table.Remove(request, s.config.Clock())
	if wasQuarantined {
		s.config.Logger.Info("quarantine lifted because the request succeeded", "fingerprint", request.String())
	}
	return wasSuspect, wasQuarantined
}
