package batch

import (
	"time"

	"github.com/pathtally/pathtally/internal/jobs/ownership"
)

// takeoverDelay returns how long this node waits after the owner's last heartbeat before
// taking over its job. The mutex must be held.
func (s *Service) takeoverDelay(id string, remote *remoteJob) time.Duration {
	return ownership.Delay(s.ownerCondition(remote), s.cachedRank(id, remote))
}

// ownerCondition returns what is known of a job's owner besides its heartbeats. The mutex
// must be held.
func (s *Service) ownerCondition(remote *remoteJob) ownership.OwnerCondition {
	if remote.owner.Node == s.config.Self.Node {
		return ownership.OwnerPreviousProcess
	}
	peer, known := s.config.PeerTable.Get(remote.owner.Node)
	switch {
	case remote.leaving:
		return ownership.OwnerLeaving
	case known && peer.Incarnation > remote.owner.Incarnation:
		return ownership.OwnerRestarted
	}
	return ownership.OwnerRunning
}

// rank returns this node's rank among those that may take a job over, ownership.Unranked
// if it may not. The mutex must be held.
func (s *Service) rank(id string, remote *remoteJob) int {
	nodes, owner := s.allowedNodes(remote.origin, s.config.PeerTable.NodeNames()), remote.owner.Node
	if owner == s.config.Self.Node {
		owner = ""
	}
	successors := ownership.Successors(nodes, owner)
	if len(successors) == 0 {
		s.logNoSuccessor(id, remote)
	}
	return ownership.Rank(id, successors, s.config.Self.Node)
}

// cachedRank returns this node's rank for a job. It is computed again when the nodes, the
// configuration, the owner or the job's origin change. The mutex must be held.
func (s *Service) cachedRank(id string, remote *remoteJob) int {
	membership, configuration := s.config.PeerTable.MembershipVersion()+1, s.config.Directory.View().Configuration
	if remote.rankMembership != membership || remote.rankConfiguration != configuration {
		remote.rank, remote.rankMembership, remote.rankConfiguration = s.rank(id, remote), membership, configuration
	}
	return remote.rank
}
