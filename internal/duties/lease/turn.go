package lease

import (
	"slices"
	"time"

	"github.com/pathtally/pathtally/internal/cluster/rendezvous"
)

const (
	// turnDelay is what each further candidate waits for those before it.
	turnDelay = 700 * time.Millisecond
	// holderPatience is for how long the last holder is waited for.
	// livePatience is added while it is heard: a holder that gets nothing done
	// is relieved in the end.
	holderPatience = 1200 * time.Millisecond
	livePatience   = 6 * time.Second
	// candidates is how many nodes besides the last holder look all the time
	// whether there is work to do. More would do the same work for nothing: each
	// further one waits turnDelay longer.
	candidates = 5
	// followersTold is how many nodes hear of the lease at each renewal, in the order in
	// which they would follow its holder. The next ones wait for half a minute and more
	// before they look at the store themselves.
	followersTold = 48
)

// myTurn tells whether this node is the one to go for the lease, where work has
// waited since an instant: the last holder at once, the others one after the
// other when it does not.
func (k *Keeper) myTurn(since time.Time) bool {
	seen := k.config.Lease.Seen()
	if seen.Holder == k.config.Node {
		return true
	}
	patience := time.Duration(k.rank(seen.Holder)) * turnDelay
	if seen.Holder != "" && !seen.Released {
		patience += holderPatience
		if k.config.Silence(seen.Holder) < holderPatience {
			// It is there and at work.
			patience += livePatience
		}
	}
	return k.config.Clock.Since(since) >= patience
}

// Patience is for how long this node leaves work that nobody does to the nodes that
// follow the last holder before it.
func (k *Keeper) Patience() time.Duration {
	return time.Duration(max(0, k.rank(k.config.Lease.Seen().Holder))) * turnDelay
}

// IsCandidate tells whether this node is the last holder of the lease or one of
// the first to follow it.
func (k *Keeper) IsCandidate() bool {
	holder := k.config.Lease.Seen().Holder
	return holder == k.config.Node || k.rank(holder) < candidates
}

// Candidates names the nodes that follow this one as holder of the lease, if it
// is the last one.
func (k *Keeper) Candidates() []string {
	if k.Tenure() == 0 {
		return nil
	}
	return k.first(candidates, k.config.Node)
}

// Informed names the nodes that have to know what the duties need: the last
// holder, and the first of those that would follow it.
func (k *Keeper) Informed(followers int) []string {
	holder := k.config.Lease.Seen().Holder
	named := k.first(followers, holder)
	if holder != "" {
		named = append(named, holder)
	}
	return named
}

// tell tells the last holder and those that would follow it what this node has seen.
func (k *Keeper) tell() { k.config.Tell(k.Informed(followersTold)) }

// first names the first nodes in rank to follow a holder.
func (k *Keeper) first(count int, holder string) []string {
	ranked := k.ranked(holder)
	return ranked[:min(count, len(ranked))]
}

// ranked are the nodes other than a holder, in the order in which they follow
// it.
func (k *Keeper) ranked(holder string) []string {
	others := slices.DeleteFunc(slices.Clone(k.config.Nodes()), func(node string) bool { return node == holder })
	return rendezvous.RankNames(leaseName, others)
}

// rank is this node's place among the candidates.
func (k *Keeper) rank(holder string) int { return slices.Index(k.ranked(holder), k.config.Node) }
