package quarantine

import (
	"slices"
	"time"

	"github.com/pathtally/pathtally/internal/cluster/rendezvous"
	"github.com/pathtally/pathtally/internal/wire"
)

// aggregators returns the nodes that aggregate the crashes of a request: the aggregatorCount
// nodes that rank highest for it by rendezvous hashing.
func (s *Service) aggregators(request Fingerprint) []string {
	ranked := rendezvous.RankNames(request.String(), s.config.Nodes())
	return ranked[:min(len(ranked), aggregatorCount)]
}

// reportToAggregators reports all known crashes of a request to its aggregators and adds the
// crashes in their replies. It returns when a majority of the aggregators has the report,
// including this node if it is one, or when all calls have ended. Any two majorities intersect,
// so the next node that reaches a majority learns of these crashes even if an aggregator has
// failed.
func (s *Service) reportToAggregators(request Fingerprint) {
	aggregators := s.aggregators(request)
	message := s.crashReport(request)
	acknowledged := make(chan bool, len(aggregators))
	for _, node := range aggregators {
		address, known := s.config.Address(node)
		switch {
		case node == s.config.Node:
			acknowledged <- true
		case !known:
			acknowledged <- false
		default:
			s.config.Peers.Call(address, message, reportTimeout, func(reply wire.Message, err error) {
				report, isReport := reply.(*wire.CrashReport)
				if err == nil && isReport {
					s.ReceiveReport(report)
				}
				acknowledged <- err == nil && isReport
			})
		}
	}
	needed := len(aggregators)/2 + 1
	for range aggregators {
		if <-acknowledged {
			needed--
		}
		if needed == 0 {
			return
		}
	}
}

// reportCrashes sends all known crashes of a request to nodes.
func (s *Service) reportCrashes(request Fingerprint, nodes []string) {
	s.broadcast(s.crashReport(request), nodes)
}

// crashReport returns a report of all known crashes of a request.
func (s *Service) crashReport(request Fingerprint) *wire.CrashReport {
	now := s.config.Clock()
	s.mutex.Lock()
	crashes := slices.Clone(s.tracker.Crashes(request))
	s.mutex.Unlock()
	message := &wire.CrashReport{Fingerprint: request[:]}
	for _, crash := range crashes {
		ago := max(0, now.Sub(crash.at))
		message.Ends = append(message.Ends, wire.ReplicaEnd{Replica: crash.replica, AgoMs: uint32(ago.Milliseconds())})
	}
	return message
}

// reportSuccess tells nodes that a request succeeded.
func (s *Service) reportSuccess(request Fingerprint, nodes []string) {
	s.broadcast(&wire.CrashReport{Fingerprint: request[:], Served: true}, nodes)
}

// broadcast sends a message to nodes, except this one.
func (s *Service) broadcast(message *wire.CrashReport, nodes []string) {
	var addresses []string
	for _, node := range nodes {
		if address, known := s.config.Address(node); known && node != s.config.Node {
			addresses = append(addresses, address)
		}
	}
	s.config.Peers.Broadcast(addresses, message)
}

// ReceiveReport handles a report from another node. It returns the reply: a report of the
// crashes known to this node, or a *wire.Failure if the fingerprint is invalid.
func (s *Service) ReceiveReport(message *wire.CrashReport) wire.Message {
	if len(message.Fingerprint) != fingerprintBytes {
		s.config.Logger.Info("ignoring crash report", "reason", errInvalidFingerprint.Error(), "bytes", len(message.Fingerprint))
		return &wire.Failure{Detail: errInvalidFingerprint.Error()}
	}
	request := Fingerprint(message.Fingerprint)
	if message.Served {
		s.receiveSuccess(request)
	} else {
		s.receiveCrashes(request, message.Ends)
	}
	return s.crashReport(request)
}

// receiveSuccess handles a report that a request succeeded.
func (s *Service) receiveSuccess(request Fingerprint) {
	if _, wasQuarantined := s.resetRequest(request); wasQuarantined && s.isAggregator(request) {
		s.recorder.setPending(request, pendingChange{remove: true})
	}
}

// receiveCrashes handles a report of crashes.
func (s *Service) receiveCrashes(request Fingerprint, ends []wire.ReplicaEnd) {
	now := s.config.Clock()
	crashes := make([]crash, 0, len(ends))
	for _, reported := range ends {
		crashes = append(crashes, crash{replica: reported.Replica, at: now.Add(-time.Duration(reported.AgoMs) * time.Millisecond)})
	}
	switch onReportedCrashes(len(crashes), s.addCrashes(request, crashes, now)) {
	case joinQuarantine:
		if s.quarantineLocally(request) && s.isAggregator(request) {
			s.recorder.setPending(request, pendingChange{start: now})
		}
	case startQuarantine:
		s.startQuarantine(request)
	}
}

// isAggregator reports whether this node is one of the aggregators of a request.
func (s *Service) isAggregator(request Fingerprint) bool {
	return slices.Contains(s.aggregators(request), s.config.Node)
}
