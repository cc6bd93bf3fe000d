package watchcache

import (
	"maps"
	"slices"
	"time"
)

const (
	// rankKey is what the nodes of an area are ranked for.
	rankKey = "store-reader"
	// silentTime is for how long a node that did not answer is passed over, twice as
	// long each time in a row up to longestSilent: one whose machine is gone for good
	// stays in the list of nodes, and each try keeps its followers without news.
	// unsureTime is the time for one that the store does not answer, and leavingTime
	// that for one that stops.
	silentTime    = 8 * time.Second
	longestSilent = 64 * time.Second
	unsureTime    = 4 * time.Second
	leavingTime   = 15 * time.Second
)

// reader returns the node to follow, unless this node is to read itself.
func (s *Source) reader() (Node, bool) {
	standing := s.position()
	return standing.parent, standing.follows
}

// position is this node's position in the area that stands, among the nodes that it
// does not pass over.
func (s *Source) position() position {
	nodes := s.config.Nodes()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if time.Now().Before(s.readUntil) {
		return position{mayRead: true}
	}
	maps.DeleteFunc(s.passedOver, func(_ string, until time.Time) bool { return !time.Now().Before(until) })
	standing, _ := s.standingArea(nodes)
	others := slices.DeleteFunc(slices.Clone(standing.nodes), func(node Node) bool { return !s.passedOver[node.Name].IsZero() })
	return positionOf(s.config.Self, others)
}

// passOver has a node not followed for a time.
func (s *Source) passOver(node string, span time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.passedOver[node] = time.Now().Add(span)
}

// passOverSilent has a node that did not answer not followed for a time, and tells
// whether it had answered before.
func (s *Source) passOverSilent(node string) (first bool) {
	s.mutex.Lock()
	last, again := s.silences[node]
	span := min(max(silentTime, 2*last), longestSilent)
	s.silences[node] = span
	s.mutex.Unlock()
	s.passOver(node, span)
	return !again
}

// noteHeard records that a node has answered.
func (s *Source) noteHeard(node string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.silences, node)
}
