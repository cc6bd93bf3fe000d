package batch

import (
	"slices"
	"time"

	"github.com/pathtally/pathtally/internal/cluster/rendezvous"
)

const (
	// ownerSilence is after how long without a heartbeat an owner's jobs are
	// taken over, and rankDelay what each further candidate adds to it.
	ownerSilence = 1400 * time.Millisecond
	rankDelay    = 350 * time.Millisecond
)

// patience is for how long after the last word of its owner this node leaves a
// job alone.
func (s *Service) patience(id string, standing *remoteJob) time.Duration {
	if standing.owner.Node == s.config.Self.Node {
		// It was run by this node's former process, which is no more.
		return 0
	}
	place := s.cachedRank(id, standing)
	if place >= watchers {
		return unwatchedPatience + time.Duration(place-watchers)*rankDelay
	}
	rank := time.Duration(place) * rankDelay
	peer, known := s.config.Table.Get(standing.owner.Node)
	switch {
	case standing.leaving:
		return rank
	case known && peer.Incarnation > standing.owner.Incarnation:
		// So it is here, but its new process takes it up first.
		return rank + rankDelay
	}
	return rank + ownerSilence
}

// rank is this node's place among those that may take a job over, negative where it
// may not. The mutex must be held.
func (s *Service) rank(id string, standing *remoteJob) int {
	nodes, owner := s.insiders(standing.origin, s.config.Table.Nodes()), standing.owner.Node
	if owner == s.config.Self.Node {
		owner = ""
	}
	candidates := successors(nodes, owner)
	if len(candidates) == 0 {
		s.logWaiting(id, standing)
	}
	return slices.IndexFunc(rendezvous.Rank(id, candidates), func(candidate rendezvous.Candidate) bool {
		return candidate.ID == s.config.Self.Node
	})
}

// cachedRank is this node's rank for a job. The mutex must be held.
func (s *Service) cachedRank(id string, standing *remoteJob) int {
	membership, configuration := s.config.Table.Membership()+1, s.config.Directory.View().Configuration
	if standing.membership != membership || standing.rankedIn != configuration {
		standing.rank, standing.membership, standing.rankedIn = s.rank(id, standing), membership, configuration
	}
	return standing.rank
}
