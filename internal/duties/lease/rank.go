package lease

import (
	"slices"

	"github.com/pathtally/pathtally/internal/cluster/rendezvous"
)

const (
	// candidateCount is the number of successors that continuously look for pending work,
	// like the last holder. Others need not, because each rank waits rankDelay longer.
	candidateCount = 5
	// announcedSuccessors is the number of successors that each renewal is announced to. The
	// others wait for more than half a minute before they read the store themselves.
	announcedSuccessors = 48
)

// IsCandidate reports whether this node is the last holder of the lease or one of its first
// successors.
func (e *Elector) IsCandidate() bool {
	holder := e.config.Lease.LastObserved().Holder
	return holder == e.config.Node || e.rank(holder) < candidateCount
}

// Candidates returns the first successors of this node if it is the last holder of the
// lease, else nil.
func (e *Elector) Candidates() []string {
	if e.TenureToken() == 0 {
		return nil
	}
	return e.firstSuccessors(candidateCount, e.config.Node)
}

// HolderAndSuccessors returns the first count successors of the last holder of the lease,
// followed by the last holder if there is one. They receive the data that the duties need.
func (e *Elector) HolderAndSuccessors(count int) []string {
	holder := e.config.Lease.LastObserved().Holder
	nodes := e.firstSuccessors(count, holder)
	if holder != "" {
		nodes = append(nodes, holder)
	}
	return nodes
}

// announce sends this node's newest observation to the last holder and its successors.
func (e *Elector) announce() { e.config.Announce(e.HolderAndSuccessors(announcedSuccessors)) }

// firstSuccessors returns the first successors of a holder.
func (e *Elector) firstSuccessors(count int, holder string) []string {
	successors := e.successors(holder)
	return successors[:min(count, len(successors))]
}

// successors returns all successors of a holder, the nodes other than the holder, in the order
// in which they try to take over the lease.
func (e *Elector) successors(holder string) []string {
	others := slices.DeleteFunc(slices.Clone(e.config.Nodes()), func(node string) bool { return node == holder })
	return rendezvous.RankNames(leaseName, others)
}

// rank returns this node's rank among the successors of a holder, from 0, or -1 if it is
// not among them.
func (e *Elector) rank(holder string) int { return slices.Index(e.successors(holder), e.config.Node) }
