package quarantine

import (
	"net/http"

	"github.com/pathtally/pathtally/internal/callers/dispatch"
)

// quarantine puts a request under which enough replicas have ended in quarantine, and
// tells the other nodes and the store.
func (s *Service) quarantine(request Fingerprint) {
	if !s.hold(request) {
		return
	}
	s.report(request, s.config.Nodes())
	s.recorder.want(request, intent{at: s.config.Clock()})
}

// hold puts a request in quarantine at this node and tells whether it was not in it.
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
	if status < http.StatusOK || status >= http.StatusMultipleChoices {
		// A failure may come from a replica that did not begin to run it.
		return
	}
	request := fingerprintOf(call)
	if !s.isKnown(request) {
		return
	}
	wasSuspect, wasHeld := s.clear(request)
	switch {
	case wasHeld:
		s.recorder.want(request, intent{lift: true})
		s.reportServed(request, s.config.Nodes())
	case wasSuspect:
		s.reportServed(request, s.keepers(request))
	}
}

// isKnown tells whether there are ends under a request, or it is in quarantine.
func (s *Service) isKnown(request Fingerprint) bool {
	if s.table.Left(request, s.config.Clock()) > 0 {
		return true
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.ledger.Ends(request)) > 0
}

// clear forgets the ends under a request that was served, and lifts its quarantine.
func (s *Service) clear(request Fingerprint) (wasSuspect, wasHeld bool) {
	s.mutex.Lock()
	wasSuspect = s.ledger.Serve(request, s.config.Clock())
	s.suspects.Store(int64(s.ledger.Len()))
	s.mutex.Unlock()
	wasHeld = s.table.Lift(request, s.config.Clock())
	if wasHeld {
		s.config.Logger.Info("quarantine lifted: the request was served", "fingerprint", request.String())
	}
	return wasSuspect, wasHeld
}
