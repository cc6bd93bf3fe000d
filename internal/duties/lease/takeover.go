package lease

import "time"

const (
	// rankDelay is what each further node waits for those before it in rank.
	rankDelay = 700 * time.Millisecond
	// holderTimeout is how long the last holder is left to go on by itself.
	holderTimeout = 1200 * time.Millisecond
	// activeHolderDelay is added while the last holder sends heartbeats: one that gets
	// nothing done is replaced in the end.
	activeHolderDelay = 6 * time.Second
)

// succession is what decides how long a node leaves work to the nodes before it.
type succession struct {
	// rank is the node's place among those that follow the last holder, from 0.
	rank int
	// holderMayGoOn is set where there is a last holder that did not release the lease.
	holderMayGoOn bool
	// holderSilence is the time since the last heartbeat of such a holder.
	holderSilence time.Duration
}

// takeoverDelay returns how long work must have waited before the node tries to get the
// lease.
func takeoverDelay(s succession) time.Duration {
	delay := time.Duration(s.rank) * rankDelay
	if !s.holderMayGoOn {
		return delay
	}
	delay += holderTimeout
	if s.holderSilence < holderTimeout {
		delay += activeHolderDelay
	}
	return delay
}

// isNext reports whether this node is the one to try to get the lease, where work has
// waited since an instant: the last holder at once, the others by rank when it does not.
func (k *Keeper) isNext(since time.Time) bool {
	last := k.config.Lease.LastObserved()
	if last.Holder == k.config.Node {
		return true
	}
	return k.config.Clock.Since(since) >= takeoverDelay(k.succession(last))
}

func (k *Keeper) succession(last Observation) succession {
	known := succession{rank: k.rank(last.Holder), holderMayGoOn: last.Holder != "" && !last.Released}
	if known.holderMayGoOn {
		known.holderSilence = k.config.Silence(last.Holder)
	}
	return known
}

// RankDelay returns how long this node leaves work to the nodes that follow the last
// holder before it does.
func (k *Keeper) RankDelay() time.Duration {
	return time.Duration(max(0, k.rank(k.config.Lease.LastObserved().Holder))) * rankDelay
}
