package ownership

import (
	"slices"

	"github.com/pathtally/pathtally/internal/cluster/rendezvous"
)

const (
	// Watchers is the number of nodes that receive each heartbeat of a job's owner and take
	// the job over if the heartbeats stop. If half of the nodes of a deployment fail at
	// once, 1 in 32 jobs has no watcher left.
	Watchers = 5
	// Locators is the number of nodes, the first in rank for a job, that are notified of its
	// start and end in deployments that do not notify all nodes. They include the watchers.
	Locators = 12
)

// Unranked is the rank of a node that may not take a job over.
const Unranked = -1

// Successors returns the nodes other than the owner, in the given order.
func Successors(nodes []string, owner string) []string {
	successors := make([]string, 0, len(nodes))
	for _, node := range nodes {
		if node != owner {
			successors = append(successors, node)
		}
	}
	return successors
}

// Rank returns the rank of a node among the successors for a job, starting at 0, or Unranked
// if the node is not a successor.
func Rank(job string, successors []string, node string) int {
	return slices.Index(rendezvous.RankNames(job, successors), node)
}

// WatchersOf returns the watchers of a job among the successors, in rank order.
func WatchersOf(job string, successors []string) []string {
	ranked := rendezvous.RankNames(job, successors)
	return ranked[:min(Watchers, len(ranked))]
}

// LocatorsOf returns the nodes that are notified of a job's start and end, in rank order.
func LocatorsOf(job string, nodes []string) []string {
	ranked := rendezvous.RankNames(job, nodes)
	return ranked[:min(Locators, len(ranked))]
}
