package ownership

import (
	"slices"

	"github.com/pathtally/pathtally/internal/cluster/rendezvous"
)

const (
	// Watchers is how many nodes hear each heartbeat of a job's owner and take the job
	// over when it falls silent. With half of the nodes of a deployment killed at once,
	// one job in 32 has no watcher left at first.
	Watchers = 5
	// Locators is how many nodes, the first in rank for a job's id, hear of its start and
	// its end where not all nodes do. They include its watchers.
	Locators = 12
)

// Outside is the rank of a node that may not take a job over.
const Outside = -1

// Successors are the nodes that may take a job over from its owner, in the order given.
func Successors(nodes []string, owner string) []string {
	successors := make([]string, 0, len(nodes))
	for _, node := range nodes {
		if node != owner {
			successors = append(successors, node)
		}
	}
	return successors
}

// Rank is a node's place among the successors for a job, from 0; Outside if it is none of
// them.
func Rank(job string, successors []string, node string) int {
	return slices.Index(rendezvous.RankNames(job, successors), node)
}

// WatchersOf are those of the successors that watch over a job, in their rank.
func WatchersOf(job string, successors []string) []string {
	ranked := rendezvous.RankNames(job, successors)
	return ranked[:min(Watchers, len(ranked))]
}

// LocatorsOf are those of all nodes that hear of a job's start and end, in their rank.
func LocatorsOf(job string, nodes []string) []string {
	ranked := rendezvous.RankNames(job, nodes)
	return ranked[:min(Locators, len(ranked))]
}
