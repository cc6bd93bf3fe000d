package usage

import "github.com/pathtally/pathtally/internal/wire"

// CompletedThrough returns the newest window up to which all windows have been reported or
// given up, 0 if none is known.
func (s *Service) CompletedThrough() int64 { return s.completed.Load() }

// ObserveCompleted records that all windows up to a given one have been reported or given up.
func (s *Service) ObserveCompleted(number int64) {
	for {
		known := s.completed.Load()
		if number <= known || s.completed.CompareAndSwap(known, number) {
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
	s.dropOldCounts(heartbeat.UsageDone)
}

// complete completes a window with an outcome, and drops the counts that are no longer
// needed.
func (s *Service) complete(number int64, outcome string) {
	s.metrics.reports.WithLabelValues(outcome).Inc()
	s.ObserveCompleted(number)
	s.config.HeartbeatSoon()
	s.dropOldCounts(number)
}

// dropOldCounts drops the counts of windows that the ledger no longer holds, given the newest
// completed window.
func (s *Service) dropOldCounts(completed int64) {
	before := completed - maxSettledWindows
	s.collector.dropBefore(before)
	s.counter.dropBefore(before)
}
