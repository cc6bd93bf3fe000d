package quarantine

// pendingChecks counts the pending checks of broken runs of one request.
type pendingChecks struct {
	// probes is the number of broken runs whose replica is being probed.
	probes int
	// reports is the number of confirmed crashes whose report awaits replies from a majority of
	// the aggregators.
	reports int
}

// updatePendingChecks changes the pending checks of a request and wakes the calls of Admit that
// wait for them.
func (s *Service) updatePendingChecks(request Fingerprint, update func(pending *pendingChecks)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	pending := s.pendingChecks[request]
	update(&pending)
	if pending == (pendingChecks{}) {
		delete(s.pendingChecks, request)
	} else {
		s.pendingChecks[request] = pending
	}
	s.updateSuspectCount()
	close(s.pendingChecksChanged)
	s.pendingChecksChanged = make(chan struct{})
}

// updateSuspectCount recomputes suspectCount. The mutex must be held.
func (s *Service) updateSuspectCount() {
	s.suspectCount.Store(int64(s.tracker.Len() + s.deferredTracker.Len() + len(s.pendingChecks)))
}
