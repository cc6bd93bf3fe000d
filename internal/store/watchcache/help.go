package watchcache

import (
	"context"
	"time"

	"github.com/pathtally/pathtally/internal/cluster/rendezvous"
	"github.com/pathtally/pathtally/internal/store/objectstore"
)

const (
	// helpCheckInterval is the time between checks whether this node needs a fallback peer.
	// helpRetryInterval is the pause after a peer that was no fallback.
	helpCheckInterval = 100 * time.Millisecond
	helpRetryInterval = 300 * time.Millisecond
)

// seekHelp polls peers in rotation while this node should read the store but the store is
// unavailable to it.
func (s *Source) seekHelp(ctx context.Context) {
	for objectstore.Sleep(ctx, helpCheckInterval) {
		for attempt := 0; s.health.isUnavailable() && ctx.Err() == nil; attempt++ {
			helpers := helpersOf(s.config.Self, s.config.Nodes())
			if len(helpers) == 0 {
				break
			}
			s.getHelp(ctx, helpers[attempt%len(helpers)])
			if !objectstore.Sleep(ctx, helpRetryInterval) {
				return
			}
		}
	}
}

// getHelp polls a peer for as long as the peer is current and the store is unavailable to
// this node.
func (s *Source) getHelp(ctx context.Context, helper Node) {
	target := pollTarget{node: helper, direct: true}
	for s.health.isUnavailable() && s.poll(ctx, target, ordinaryTiming).outcome == outcomeCurrent {
		s.freshness.markCurrent()
		if s.peer.recordHelp() {
			s.config.Logger.Info("following the store through a peer while it does not answer this node", "reader", helper.Name)
			s.changed.broadcast()
		}
	}
}

// helpersOf returns the fallback peers of a node: the first in rank of each zone, and in a
// large deployment standbyReaders of its own zone. Peers in other zones come first, since
// they are likely to read the store already.
func helpersOf(self Node, nodes []Node) []Node {
	byName := map[string]Node{}
	var candidates []rendezvous.Candidate
	for _, node := range nodes {
		if node.Name != self.Name {
			byName[node.Name] = node
			candidates = append(candidates, rendezvous.Candidate{ID: node.Name, Zone: node.Zone})
		}
	}
	limitInOwnZone := 1
	if len(candidates) >= maxFollowers {
		limitInOwnZone = standbyReaders
	}
	var ofOtherZones, ofOwnZone []Node
	taken := map[string]bool{}
	for _, candidate := range rendezvous.Rank(rankKey, candidates) {
		helper := byName[candidate.ID]
		switch {
		case candidate.Zone == self.Zone && len(ofOwnZone) < limitInOwnZone:
			ofOwnZone = append(ofOwnZone, helper)
		case candidate.Zone != self.Zone && !taken[candidate.Zone]:
			taken[candidate.Zone] = true
			ofOtherZones = append(ofOtherZones, helper)
		}
	}
	return append(ofOtherZones, ofOwnZone...)
}
