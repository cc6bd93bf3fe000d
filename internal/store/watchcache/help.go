package watchcache

import (
	"context"
	"slices"
	"time"

	"github.com/pathtally/pathtally/internal/cluster/rendezvous"
	"github.com/pathtally/pathtally/internal/store/objectstore"
)

const (
	// helpedTime is for how long the word of another node counts.
	helpedTime = time.Second
	// helpLook is the time between looks at whether help is needed, and
	// helpPause the one between two polls that brought none.
	helpLook  = 100 * time.Millisecond
	helpPause = 300 * time.Millisecond
)

// seekHelp polls other nodes while the store does not answer this one although
// it is to read it. Those of other zones that read in any case come first.
func (s *Source) seekHelp(ctx context.Context) {
	for objectstore.Sleep(ctx, helpLook) {
		for turn := 0; s.health.isTroubled() && ctx.Err() == nil; turn++ {
			helpers := s.helpers()
			if len(helpers) == 0 {
				break
			}
			helper := helpers[turn%len(helpers)]
			for s.health.isTroubled() && s.poll(ctx, pollOf{node: helper, direct: true}) == outcomeCurrent {
				s.noteHelp(helper)
			}
			if !objectstore.Sleep(ctx, helpPause) {
				return
			}
		}
	}
}

// helpers are the first in rank of each zone but this node, and further ones of its own
// zone where that is large.
func (s *Source) helpers() []Node {
	byName := map[string]Node{}
	var candidates []rendezvous.Candidate
	for _, node := range s.config.Nodes() {
		if node.Name != s.config.Self.Name {
			byName[node.Name] = node
			candidates = append(candidates, rendezvous.Candidate{ID: node.Name, Zone: node.Zone})
		}
	}
	own := 1
	if len(candidates) >= mostFollowers {
		own = deputies
	}
	var helpers []Node
	taken := map[string]int{}
	for _, candidate := range rendezvous.Rank(rankKey, candidates) {
		most := 1
		if candidate.Zone == s.config.Self.Zone {
			most = own
		}
		if taken[candidate.Zone] < most {
			taken[candidate.Zone]++
			helpers = append(helpers, byName[candidate.ID])
		}
	}
	// Those of this zone would have to begin to read.
	slices.SortStableFunc(helpers, func(a, b Node) int { return s.nearness(a) - s.nearness(b) })
	return helpers
}

func (s *Source) nearness(node Node) int {
	if node.Zone == s.config.Self.Zone {
		return 1
	}
	return 0
}

// noteHelp records that a node that the store answers has brought the news.
func (s *Source) noteHelp(helper Node) {
	s.noteNews()
	s.mutex.Lock()
	first := time.Since(s.helpedAt) > helpedTime
	s.helpedAt = time.Now()
	s.mutex.Unlock()
	if first {
		s.config.Logger.Info("following the store through a peer while it does not answer this node", "reader", helper.Name)
		s.notify()
	}
}

// notePeer records a node that the store answers: one that called itself
// current, or the one through which that is so.
func (s *Source) notePeer(current Node, through string) {
	if through != "" {
		current = Node{Address: through}
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.peer, s.peerAt = current, time.Now()
}

// CurrentPeer returns the address of a node that the store has answered of late.
func (s *Source) CurrentPeer() (address string, known bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.peer.Address, s.peer.Address != "" && time.Since(s.peerAt) < helpedTime
}
