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

// reportCrashes sends all known crashes of a request to nodes.
func (s *Service) reportCrashes(request Fingerprint, nodes []string) {
	now := s.config.Clock()
	s.mutex.Lock()
	crashes := slices.Clone(s.tracker.Crashes(request))
	s.mutex.Unlock()
	message := &wire.CrashReport{Fingerprint: request[:]}
	for _, crash := range crashes {
		ago := max(0, now.Sub(crash.at))
		message.Ends = append(message.Ends, wire.ReplicaEnd{Replica: crash.replica, AgoMs: uint32(ago.Milliseconds())})
	}
	s.broadcast(message, nodes)
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

// ReceiveReport handles a report from another node.
func (s *Service) ReceiveReport(message *wire.CrashReport) {
	if len(message.Fingerprint) != fingerprintBytes {
		s.config.Logger.Info("ignoring crash report", "reason", errInvalidFingerprint.Error(), "bytes", len(message.Fingerprint))
		return
	}
	request := Fingerprint(message.Fingerprint)
	if message.Served {
		if _, wasQuarantined := s.resetRequest(request); wasQuarantined && s.isAggregator(request) {
			s.recorder.setPending(request, pendingChange{remove: true})
		}
		return
	}
	now := s.config.Clock()
	crashes := make([]crash, 0, len(message.Ends))
	for _, reported := range message.Ends {
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
