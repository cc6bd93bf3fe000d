package lease

import (
	"slices"

	"github.com/pathtally/pathtally/internal/cluster/rendezvous"
)

const (
	// candidateCount is how many nodes besides the last holder check all the time
	// whether there is work to do. More would do the same work in vain: each
	// further one waits rankDelay longer.
	candidateCount = 5
	// informedFollowers is how many nodes receive each renewal, in the order in which
	// they would follow its holder. The next ones wait for half a minute and more
	// before they read the store themselves.
	informedFollowers = 48
)

// IsCandidate reports whether this node is the last holder of the lease or one of
// the first to follow it.
func (k *Keeper) IsCandidate() bool {
	holder := k.config.Lease.LastObserved().Holder
	return holder == k.config.Node || k.rank(holder) < candidateCount
}

// Candidates names the nodes that follow this one as holder of the lease, if it
// is the last one.
func (k *Keeper) Candidates() []string {
	if k.Tenure() == 0 {
		return nil
	}
	return k.first(candidateCount, k.config.Node)
}

// Informed names the nodes that have to know what the duties need: the last
// holder, and the first of those that would follow it.
func (k *Keeper) Informed(followers int) []string {
	holder := k.config.Lease.LastObserved().Holder
	named := k.first(followers, holder)
	if holder != "" {
		named = append(named, holder)
	}
	return named
}

// announce sends what this node knows of the lease to the last holder and its followers.
func (k *Keeper) announce() { k.config.Announce(k.Informed(informedFollowers)) }

// first names the first nodes in rank to follow a holder.
func (k *Keeper) first(count int, holder string) []string {
	ranked := k.ranked(holder)
	return ranked[:min(count, len(ranked))]
}

// ranked lists the nodes other than a holder, in the order in which they follow it.
func (k *Keeper) ranked(holder string) []string {
	others := slices.DeleteFunc(slices.Clone(k.config.Nodes()), func(node string) bool { return node == holder })
	return rendezvous.RankNames(leaseName, others)
}

// rank is this node's place among the followers of a holder, -1 if it is not listed.
func (k *Keeper) rank(holder string) int { return slices.Index(k.ranked(holder), k.config.Node) }
