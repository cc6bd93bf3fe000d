package watchcache

import (
	"context"
	"time"

	"github.com/pathtally/pathtally/internal/cluster/rendezvous"
	"github.com/pathtally/pathtally/internal/store/objectstore"
)

const (
	// helperCheckInterval is the time between checks whether this node needs a helper.
	// helperRetryInterval is the pause after a peer that could not help.
	helperCheckInterval = 100 * time.Millisecond
	helperRetryInterval = 300 * time.Millisecond
)

// followHelpers polls helpers in rotation while this node should read the store but the
// store is unavailable to it.
func (s *Source) followHelpers(ctx context.Context) {
	for objectstore.Sleep(ctx, helperCheckInterval) {
		for attempt := 0; s.health.isUnavailable() && ctx.Err() == nil; attempt++ {
			helpers := helpersOf(s.config.Self, s.config.Nodes())
			if len(helpers) == 0 {
				break
			}
			s.followHelper(ctx, helpers[attempt%len(helpers)])
			if !objectstore.Sleep(ctx, helperRetryInterval) {
				return
			}
		}
	}
}

// followHelper polls a helper for as long as the helper is current and the store is
// unavailable to this node.
func (s *Source) followHelper(ctx context.Context, helper Node) {
	target := pollTarget{node: helper, direct: true}
	for s.health.isUnavailable() && s.poll(ctx, target, defaultTiming).outcome == outcomeCurrent {
		s.freshness.markCurrent()
		if s.accessPeer.recordHelped() {
			s.config.Logger.Info("following a helper while the store is unavailable to this node", "reader", helper.Name)
			s.changed.broadcast()
		}
	}
}

// helpersOf returns the nodes that may help a node: the first in rank of each zone, and in
// a large deployment standbyReaders of its own zone. Those in other zones come first, since
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
