package usage

import "github.com/pathtally/pathtally/internal/wire"

// Done returns the newest window up to which all have been reported or given up, 0
// while none is known.
func (s *Service) Done() int64 { return s.done.Load() }

// ObserveDone takes the newest window up to which another node has reported all.
func (s *Service) ObserveDone(number int64) {
	for {
		known := s.done.Load()
		if number <= known || s.done.CompareAndSwap(known, number) {
			return
		}
	}
}

// FillHeartbeat adds to a heartbeat up to which window all have been reported.
func (s *Service) FillHeartbeat(heartbeat *wire.NodeBeat) { heartbeat.UsageDone = s.Done() }

// ReceiveHeartbeat learns from a heartbeat which windows have been reported, and drops old
// windows.
func (s *Service) ReceiveHeartbeat(heartbeat *wire.NodeBeat) {
	if heartbeat.UsageDone <= s.Done() {
		return
	}
	s.ObserveDone(heartbeat.UsageDone)
	s.forgetSettled(heartbeat.UsageDone)
}

// finish ends the work on a window and forgets what is no longer needed.
func (s *Service) finish(number int64, outcome string) {
	s.metrics.reports.WithLabelValues(outcome).Inc()
	s.ObserveDone(number)
	s.config.HeartbeatSoon()
	s.forgetSettled(number)
}

// forgetSettled drops the counts of windows that have left the ledger, once all windows up
// to one are done.
func (s *Service) forgetSettled(done int64) {
	before := done - maxSettledWindows
	s.collector.forget(before)
	s.counter.forget(before)
}
