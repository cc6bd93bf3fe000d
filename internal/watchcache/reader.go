package watchcache

import (
	"maps"
	"time"

	"github.com/pathtally/pathtally/internal/rendezvous"
)

const (
	// rankKey is what the nodes of a zone are ranked for.
	rankKey = "store-reader"
	// silentTime is for how long a node that did not answer is passed over,
	// unsureTime one that the store does not answer, and leavingTime one that
	// stops.
	silentTime  = 8 * time.Second
	unsureTime  = 4 * time.Second
	leavingTime = 15 * time.Second
)

// reader returns the node to follow, the first in rank of this zone, unless
// this node is to read itself.
func (s *Source) reader() (Node, bool) {
	s.mutex.Lock()
	reads := time.Now().Before(s.readUntil)
	s.mutex.Unlock()
	if reads {
		return Node{}, false
	}
	first := s.ranked()[0]
	return first, first.Name != s.config.Self.Name
}

// ranked are the nodes of this zone that are not passed over, this one included,
// in their rank as readers.
func (s *Source) ranked() []Node {
	nodes := s.config.Nodes()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	maps.DeleteFunc(s.passedOver, func(_ string, until time.Time) bool { return !time.Now().Before(until) })
	byName := map[string]Node{s.config.Self.Name: s.config.Self}
	candidates := []rendezvous.Candidate{{ID: s.config.Self.Name}}
	for _, node := range nodes {
		if node.Zone == s.config.Self.Zone && node.Name != s.config.Self.Name && s.passedOver[node.Name].IsZero() {
			byName[node.Name] = node
			candidates = append(candidates, rendezvous.Candidate{ID: node.Name})
		}
	}
	ranked := make([]Node, 0, len(candidates))
	for _, candidate := range rendezvous.Rank(rankKey, candidates) {
		ranked = append(ranked, byName[candidate.ID])
	}
	return ranked
}

// passOver has a node not followed for a time.
func (s *Source) passOver(node string, span time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.passedOver[node] = time.Now().Add(span)
}
