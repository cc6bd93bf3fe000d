package quarantine

import (
	"slices"
	"time"

	"github.com/pathtally/pathtally/internal/cluster/rendezvous"
	"github.com/pathtally/pathtally/internal/wire"
)

// keepers returns the nodes that aggregate the crashes of a request: the keeperCount nodes
// that rank highest for it by rendezvous hashing.
func (s *Service) keepers(request Fingerprint) []string {
	ranked := rendezvous.RankNames(request.String(), s.config.Nodes())
	return ranked[:min(len(ranked), keeperCount)]
}

// reportEnds sends all known crashes of a request to nodes.
func (s *Service) reportEnds(request Fingerprint, nodes []string) {
	now := s.config.Clock()
	s.mutex.Lock()
	known := slices.Clone(s.ledger.Crashes(request))
	s.mutex.Unlock()
	message := &wire.CrashReport{Fingerprint: request[:]}
	for _, one := range known {
		ago := max(0, now.Sub(one.at))
		message.Ends = append(message.Ends, wire.ReplicaEnd{Replica: one.replica, AgoMs: uint32(ago.Milliseconds())})
	}
	s.broadcast(message, nodes)
}

// reportServed tells nodes that a request succeeded.
func (s *Service) reportServed(request Fingerprint, nodes []string) {
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
		s.config.Logger.Info("crash report ignored", "reason", errBadFingerprint.Error(), "bytes", len(message.Fingerprint))
		return
	}
	request := Fingerprint(message.Fingerprint)
	if message.Served {
		if _, wasHeld := s.forgive(request); wasHeld && s.isKeeper(request) {
			s.recorder.setIntent(request, intent{lift: true})
		}
		return
	}
	now := s.config.Clock()
	ends := make([]end, 0, len(message.Ends))
	for _, reported := range message.Ends {
		ends = append(ends, end{replica: reported.Replica, at: now.Add(-time.Duration(reported.AgoMs) * time.Millisecond)})
	}
	switch onReportedEnds(len(ends), s.addEnds(request, ends, now)) {
	case joinQuarantine:
		if s.hold(request) && s.isKeeper(request) {
			s.recorder.setIntent(request, intent{at: now})
		}
	case startQuarantine:
		s.quarantine(request)
	}
}

// isKeeper reports whether this node is one of the keepers of a request.
func (s *Service) isKeeper(request Fingerprint) bool {
	return slices.Contains(s.keepers(request), s.config.Node)
}
