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
func (k *Elector) IsCandidate() bool {
	holder := k.config.Lease.LastObserved().Holder
	return holder == k.config.Node || k.rank(holder) < candidateCount
}

// Candidates returns the first successors of this node if it is the last holder of the
// lease, else nil.
func (k *Elector) Candidates() []string {
	if k.TenureToken() == 0 {
		return nil
	}
	return k.first(candidateCount, k.config.Node)
}

// HolderAndSuccessors returns a number of first successors of the last holder, followed by the last
// holder itself. These nodes receive the data that the duties need.
func (k *Elector) HolderAndSuccessors(followers int) []string {
	holder := k.config.Lease.LastObserved().Holder
	named := k.first(followers, holder)
	if holder != "" {
		named = append(named, holder)
	}
	return named
}

// announce sends this node's newest observation to the last holder and its successors.
func (k *Elector) announce() { k.config.Announce(k.HolderAndSuccessors(informedFollowers)) }

// first returns the first successors of a holder.
func (k *Elector) first(count int, holder string) []string {
	ranked := k.ranked(holder)
	return ranked[:min(count, len(ranked))]
}

// ranked returns all successors of a holder, the nodes other than the holder, in the order
// in which they try to take over the lease.
func (k *Elector) ranked(holder string) []string {
	others := slices.DeleteFunc(slices.Clone(k.config.Nodes()), func(node string) bool { return node == holder })
	return rendezvous.RankNames(leaseName, others)
}

// rank returns this node's rank among the successors of a holder, from 0, or -1 if it is
// not among them.
func (k *Elector) rank(holder string) int { return slices.Index(k.ranked(holder), k.config.Node) }
