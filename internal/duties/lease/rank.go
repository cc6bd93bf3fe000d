package lease

import (
	"slices"

	"github.com/pathtally/pathtally/internal/cluster/rendezvous"
)

const (
	// candidateCount is the number of successors that continuously look for pending work,
	// like the last holder. Others need not, because each rank waits rankDelay longer.
	candidateCount = 5
	// informedFollowers is the number of successors that each renewal is announced to. The
	// others read the store by themselves, after a long takeover delay.
	informedFollowers = 48
)

// IsCandidate reports whether this node is the last holder of the lease or one of its first
// successors.
func (k *Keeper) IsCandidate() bool {
	holder := k.config.Lease.LastObserved().Holder
	return holder == k.config.Node || k.rank(holder) < candidateCount
}

// Candidates returns the first successors of this node if it is the last holder of the
// lease, else nil.
func (k *Keeper) Candidates() []string {
	if k.Tenure() == 0 {
		return nil
	}
	return k.first(candidateCount, k.config.Node)
}

// Informed returns a number of first successors of the last holder, followed by the last
// holder itself. These nodes receive the data that the duties need.
func (k *Keeper) Informed(followers int) []string {
	holder := k.config.Lease.LastObserved().Holder
	named := k.first(followers, holder)
	if holder != "" {
		named = append(named, holder)
	}
	return named
}

// announce sends this node's newest observation to the last holder and its successors.
func (k *Keeper) announce() { k.config.Announce(k.Informed(informedFollowers)) }

// first returns the first successors of a holder.
func (k *Keeper) first(count int, holder string) []string {
	ranked := k.ranked(holder)
	return ranked[:min(count, len(ranked))]
}

// ranked returns all successors of a holder, the nodes other than the holder, in the order
// in which they try to take over the lease.
func (k *Keeper) ranked(holder string) []string {
	others := slices.DeleteFunc(slices.Clone(k.config.Nodes()), func(node string) bool { return node == holder })
	return rendezvous.RankNames(leaseName, others)
}

// rank returns this node's rank among the successors of a holder, from 0, or -1 if it is
// not among them.
func (k *Keeper) rank(holder string) int { return slices.Index(k.ranked(holder), k.config.Node) }
