package quarantine

import "github.com/pathtally/pathtally/internal/callers/dispatch"

// quarantine puts a request in quarantine, reports its crashes to all nodes and schedules the
// write to the store.
func (s *Service) quarantine(request Fingerprint) {
	if !s.hold(request) {
		return
	}
	s.reportEnds(request, s.config.Nodes())
	s.recorder.setIntent(request, intent{at: s.config.Clock()})
}

// hold puts a request in quarantine at this node only. It returns false if the request
// already was in quarantine.
func (s *Service) hold(request Fingerprint) bool {
	now := s.config.Clock()
	if !s.table.Add(request, now.Add(s.config.Duration), now) {
		return false
	}
	s.metrics.held.Inc()
	s.config.Logger.Info("request quarantined: replicas end under it", "fingerprint", request.String(), "spanMs", s.config.Duration.Milliseconds())
	return true
}

// ObserveResponse implements dispatch.Guard.
func (s *Service) ObserveResponse(call *dispatch.Call, status int) {
	if s.suspects.Load() == 0 && s.table.IsEmpty() {
		return
	}
	if !clearsRequest(status) {
		return
	}
	request := fingerprintOf(call)
	if !s.isSuspectOrHeld(request) {
		return
	}
	wasSuspect, wasHeld := s.forgive(request)
	switch {
	case wasHeld:
		s.recorder.setIntent(request, intent{lift: true})
		s.reportServed(request, s.config.Nodes())
	case wasSuspect:
		s.reportServed(request, s.keepers(request))
	}
}

// isSuspectOrHeld reports whether a request has crashes or is in quarantine.
func (s *Service) isSuspectOrHeld(request Fingerprint) bool {
	if s.table.TimeLeft(request, s.config.Clock()) > 0 {
		return true
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.ledger.Crashes(request)) > 0
}

// forgive drops the crashes of a request that succeeded and takes it out of quarantine.
func (s *Service) forgive(request Fingerprint) (wasSuspect, wasHeld bool) {
	s.mutex.Lock()
	wasSuspect = s.ledger.RecordServed(request, s.config.Clock())
	s.suspects.Store(int64(s.ledger.Len()))
	s.mutex.Unlock()
	wasHeld = s.table.Remove(request, s.config.Clock())
	if wasHeld {
		s.config.Logger.Info("quarantine lifted: the request was served", "fingerprint", request.String())
	}
	return wasSuspect, wasHeld
}
