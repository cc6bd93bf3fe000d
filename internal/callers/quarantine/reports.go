package quarantine

import (
	"slices"
	"time"

	"github.com/pathtally/pathtally/internal/cluster/rendezvous"
	"github.com/pathtally/pathtally/internal/wire"
)

// keepersOfRequest is how many nodes count the ends under a request besides those that
// saw one: two may be lost at the same time.
const keeperCount = 3

// keepers are the nodes that count the ends under a request.
func (s *Service) keepers(request Fingerprint) []string {
	ranked := rendezvous.RankNames(request.String(), s.config.Nodes())
	return ranked[:min(len(ranked), keeperCount)]
}

// report tells nodes of all ends known under a request.
func (s *Service) reportEnds(request Fingerprint, nodes []string) {
	now := s.config.Clock()
	s.mutex.Lock()
	known := slices.Clone(s.ledger.Ends(request))
	s.mutex.Unlock()
	message := &wire.CrashReport{Fingerprint: request[:]}
	for _, one := range known {
		ago := max(0, now.Sub(one.at))
		message.Ends = append(message.Ends, wire.ReplicaEnd{Replica: one.replica, AgoMs: uint32(ago.Milliseconds())})
	}
	s.broadcast(message, nodes)
}

// reportServed tells nodes that a request was served.
func (s *Service) reportServed(request Fingerprint, nodes []string) {
	s.broadcast(&wire.CrashReport{Fingerprint: request[:], Served: true}, nodes)
}

// broadcast sends a message to nodes other than this one.
func (s *Service) broadcast(message *wire.CrashReport, nodes []string) {
	var addresses []string
	for _, node := range nodes {
		if address, known := s.config.Address(node); known && node != s.config.Node {
			addresses = append(addresses, address)
		}
	}
	s.config.Peers.Broadcast(addresses, message)
}

// Take takes another node's report.
func (s *Service) ReceiveReport(message *wire.CrashReport) {
	if len(message.Fingerprint) != fingerprintBytes {
		s.config.Logger.Info("crash report passed over", "reason", errBadFingerprint.Error(), "bytes", len(message.Fingerprint))
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
	for _, told := range message.Ends {
		ends = append(ends, end{replica: told.Replica, at: now.Add(-time.Duration(told.AgoMs) * time.Millisecond)})
	}
	known := s.addEnds(request, ends, now)
	switch {
	case len(message.Ends) >= endsToQuarantine:
		// The sender tells everybody. A keeper records it too, should the sender end
		// before it has.
		if s.hold(request) && s.isKeeper(request) {
			s.recorder.setIntent(request, intent{at: now})
		}
	case known >= endsToQuarantine:
		s.quarantine(request)
	}
}

// isKeeper tells whether this node counts the ends under a request for all.
func (s *Service) isKeeper(request Fingerprint) bool {
	return slices.Contains(s.keepers(request), s.config.Node)
}
