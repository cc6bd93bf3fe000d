package usage

import "github.com/pathtally/pathtally/internal/wire"

// CompletedThrough returns the newest window up to which all windows have been reported or given up, 0
// if none is known.
func (s *Service) CompletedThrough() int64 { return s.done.Load() }

// ObserveCompleted records that all windows up to a given one have been reported or given up.
func (s *Service) ObserveCompleted(number int64) {
	for {
		known := s.done.Load()
		if number <= known || s.done.CompareAndSwap(known, number) {
			return
		}
	}
}

// FillHeartbeat adds this node's knowledge of the completed windows to a heartbeat.
func (s *Service) FillHeartbeat(heartbeat *wire.NodeBeat) { heartbeat.UsageDone = s.CompletedThrough() }

// ReceiveHeartbeat records the completed windows of a heartbeat, and drops the counts that
// are no longer needed.
func (s *Service) ReceiveHeartbeat(heartbeat *wire.NodeBeat) {
	if heartbeat.UsageDone <= s.CompletedThrough() {
		return
	}
	s.ObserveCompleted(heartbeat.UsageDone)
	s.forgetSettled(heartbeat.UsageDone)
}

// finish completes a window with an outcome, and drops the counts that are no longer needed.
func (s *Service) finish(number int64, outcome string) {
	s.metrics.reports.WithLabelValues(outcome).Inc()
	s.ObserveCompleted(number)
	s.config.HeartbeatSoon()
	s.forgetSettled(number)
}

// forgetSettled drops the counts of windows that the ledger no longer holds, given the newest
// completed window.
func (s *Service) forgetSettled(done int64) {
	before := done - maxSettledWindows
	s.collector.forget(before)
	s.counter.forget(before)
}
