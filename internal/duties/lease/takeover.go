package lease

import "time"

const (
	// rankDelay is the additional delay for each rank in the order of succession.
	rankDelay = 700 * time.Millisecond
	// holderTimeout is the time that the last holder is given to process pending work, and
	// the time without a heartbeat after which it counts as inactive.
	holderTimeout = 1200 * time.Millisecond
	// activeHolderDelay is the additional delay while the last holder sends heartbeats. A
	// holder that is alive but makes no progress is replaced after it.
	activeHolderDelay = 6 * time.Second
)

// succession holds the inputs of takeoverDelay.
type succession struct {
	// rank is the node's rank among the successors of the last holder, from 0.
	rank int
	// holderMayGoOn is set if there is a last holder that did not release the lease.
	holderMayGoOn bool
	// holderSilence is the time since the last heartbeat of that holder.
	holderSilence time.Duration
}

// takeoverDelay returns how long work must have been pending before the node tries to
// acquire the lease.
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

// isNext reports whether it is this node's turn to acquire the lease, given the time since
// which work has been pending. The last holder tries immediately, its successors after
// their takeover delay.
func (k *Elector) isNext(since time.Time) bool {
	last := k.config.Lease.LastObserved()
	if last.Holder == k.config.Node {
		return true
	}
	return k.config.Clock.Since(since) >= takeoverDelay(k.succession(last))
}

func (k *Elector) succession(last Observation) succession {
	known := succession{rank: k.rank(last.Holder), holderMayGoOn: last.Holder != "" && !last.Released}
	if known.holderMayGoOn {
		known.holderSilence = k.config.SinceHeartbeat(last.Holder)
	}
	return known
}

// RankDelay returns the part of this node's takeover delay that is due to its rank.
func (k *Elector) RankDelay() time.Duration {
	return time.Duration(max(0, k.rank(k.config.Lease.LastObserved().Holder))) * rankDelay
}
