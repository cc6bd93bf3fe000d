package watchcache

import (
	"slices"

	"github.com/pathtally/pathtally/internal/cluster/rendezvous"
)

const (
	// rankKey is the rendezvous key by which the nodes of an area are ranked.
	rankKey = "store-reader"
	// fanOut is the most nodes that follow one node directly in a tree. It bounds the time
	// to send a full listing to all of them over one node's link.
	fanOut = 32
	// standbyReaders is how many nodes of a tree may read the store besides the node with
	// rank 0: those with ranks 1 to standbyReaders, if they find no parent in time. There are
	// several so that one of them can still read it if the store rejects many nodes.
	standbyReaders = 8
)

// treePosition is a node's position among the nodes of its area. The zero value is that of
// a node that reads the store and whose area has no tree.
type treePosition struct {
	// parent is the node to follow if follows is set; otherwise this node reads the store.
	parent  Node
	follows bool
	// relayed reports that the parent itself follows another node.
	relayed bool
	// inTree reports that the area is too large for one node to serve all others.
	inTree bool
	// mayRead reports that this node may read the store if it finds no parent in time. In a
	// tree, only the first nodes in rank may, to limit the load on the store.
	mayRead bool
}

// positionOf returns a node's position among the other nodes of its area.
func positionOf(self Node, others []Node) treePosition {
	if len(others) < maxFollowers {
		return flatPosition(self, others)
	}
	ranked := rankByCapacity(self, others)
	rank := slices.IndexFunc(ranked, func(node Node) bool { return node.Name == self.Name })
	position := treePosition{inTree: true, mayRead: rank <= standbyReaders}
	if rank == 0 {
		return position
	}
	parent := parentRank(rank)
	position.parent = ranked[parent]
	position.follows = true
	position.relayed = parent > 0
	return position
}

// flatPosition returns the position of a node in an area whose nodes all follow the first
// in rank.
func flatPosition(self Node, others []Node) treePosition {
	byName := make(map[string]Node, len(others))
	names := []string{self.Name}
	for _, node := range others {
		byName[node.Name] = node
		names = append(names, node.Name)
	}
	first, follows := byName[rendezvous.RankNames(rankKey, names)[0]]
	return treePosition{parent: first, follows: follows, mayRead: true}
}

// rankByCapacity ranks the nodes of an area, those with the most CPU capacity first: they
// also have the most network bandwidth.
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

// parentRank returns the rank of the parent of the node with the given rank. The top
// level of the tree is the node with rank 0. Every other level has room for fanOut times as
// many nodes as the level above it. Its nodes are assigned in turn to the
// nodes of the level above, so that none of those has more than fanOut followers.
func parentRank(rank int) int {
	parentStart, levelStart, levelLength := 0, 1, fanOut
	for rank >= levelStart+levelLength {
		parentStart, levelStart, levelLength = levelStart, levelStart+levelLength, levelLength*fanOut
	}
	return parentStart + (rank-levelStart)%(levelStart-parentStart)
}
