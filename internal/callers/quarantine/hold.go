package quarantine

import "github.com/pathtally/pathtally/internal/callers/dispatch"

// quarantine holds a request, reports that to all nodes and has it written to the store.
func (s *Service) quarantine(request Fingerprint) {
	if !s.hold(request) {
		return
	}
	s.reportEnds(request, s.config.Nodes())
	s.recorder.setIntent(request, intent{at: s.config.Clock()})
}

// hold puts a request in quarantine at this node, and returns whether it was not in it.
func (s *Service) hold(request Fingerprint) bool {
	now := s.config.Clock()
	if !s.table.Hold(request, now.Add(s.config.Span), now) {
		return false
	}
	s.metrics.held.Inc()
	s.config.Logger.Info("request quarantined: replicas end under it", "fingerprint", request.String(), "spanMs", s.config.Span.Milliseconds())
	return true
}

// ObserveServed implements dispatch.Guard.
func (s *Service) ObserveServed(call *dispatch.Call, status int) {
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

// isSuspectOrHeld returns whether there are ends under a request, or it is in quarantine.
func (s *Service) isSuspectOrHeld(request Fingerprint) bool {
	if s.table.TimeLeft(request, s.config.Clock()) > 0 {
		return true
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.ledger.Ends(request)) > 0
}

// forgive drops the ends under a request that was served, and lifts its quarantine.
func (s *Service) forgive(request Fingerprint) (wasSuspect, wasHeld bool) {
	s.mutex.Lock()
	wasSuspect = s.ledger.RecordServed(request, s.config.Clock())
	s.suspects.Store(int64(s.ledger.Len()))
	s.mutex.Unlock()
	wasHeld = s.table.Lift(request, s.config.Clock())
	if wasHeld {
		s.config.Logger.Info("quarantine lifted: the request was served", "fingerprint", request.String())
	}
	return wasSuspect, wasHeld
}
