package watchcache

import (
	"slices"

	"github.com/pathtally/pathtally/internal/cluster/rendezvous"
)

const (
	// fanOut is how many nodes follow one directly where an area has more nodes than
	// one can answer. A listing of ten thousand replicas, half a megabyte, reaches so
	// many in less than a second over 200 Mbit/s, and three levels reach a thousand.
	fanOut = 32
	// deputies is how many nodes after the first in rank may read the store in such an
	// area: with a third of the machines turned away by the store, one in seven
	// thousand areas has none left among them.
	deputies = 8
)

// position is a node's place among those of its area that follow one another.
type position struct {
	// parent is the node to follow, if follows is set; else this node reads the store.
	parent  Node
	follows bool
	// relayed tells that the parent follows another node itself.
	relayed bool
	// inTree tells that the area is too large for one node to answer all others.
	inTree bool
	// mayRead tells that this node may read the store where it finds nobody to follow
	// in time. Of a large area only some may: all of them reading is what a store can
	// bear least.
	mayRead bool
}

// positionOf is this node's position among the other nodes of its area.
func positionOf(self Node, others []Node) position {
	if len(others) < mostFollowers {
		return flatPosition(self, others)
	}
	ranked := rankByCapacity(self, others)
	place := slices.IndexFunc(ranked, func(node Node) bool { return node.Name == self.Name })
	standing := position{inTree: true, mayRead: place <= deputies}
	if place == 0 {
		return standing
	}
	above := parentPlace(place)
	standing.parent, standing.follows, standing.relayed = ranked[above], true, above > 0
	return standing
}

// flatPosition has all nodes of an area follow the first in rank.
func flatPosition(self Node, others []Node) position {
	byName := make(map[string]Node, len(others))
	names := []string{self.Name}
	for _, node := range others {
		byName[node.Name] = node
		names = append(names, node.Name)
	}
	first, follows := byName[rendezvous.RankNames(rankKey, names)[0]]
	return position{parent: first, follows: follows, mayRead: true}
}

// rankByCapacity orders the nodes of an area, those with the most processor time first:
// they have the widest links too, and answer others beside their own callers.
func rankByCapacity(self Node, others []Node) []Node {
	byName := map[string]Node{self.Name: self}
	candidates := []rendezvous.Candidate{{ID: self.Name, Capacity: self.Capacity}}
	for _, node := range others {
		byName[node.Name] = node
		candidates = append(candidates, rendezvous.Candidate{ID: node.Name, Capacity: node.Capacity})
	}
	ranked := make([]Node, 0, len(candidates))
	for _, candidate := range rendezvous.RankByCapacity(rankKey, candidates) {
		ranked = append(ranked, byName[candidate.ID])
	}
	return ranked
}

// parentPlace is the place of the node that the one at a place follows. The first is
// alone on its level and each level is fanOut times as long as the one before; the nodes
// of a level share those of the one above evenly, however few they are.
func parentPlace(place int) int {
	above, start, length := 0, 1, fanOut
	for place >= start+length {
		above, start, length = start, start+length, length*fanOut
	}
	return above + (place-start)%(start-above)
}
