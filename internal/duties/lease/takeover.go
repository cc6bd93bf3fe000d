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

// takeoverInputs holds the inputs of takeoverDelay.
type takeoverInputs struct {
	// rank is the node's rank among the successors of the last holder, from 0.
	rank int
	// holderMayResume is set if there is a last holder that did not release the lease.
	holderMayResume bool
	// sinceHeartbeat is the time since the last heartbeat of that holder.
	sinceHeartbeat time.Duration
}

// takeoverDelay returns how long work must have been pending before the node tries to
// acquire the lease.
func takeoverDelay(inputs takeoverInputs) time.Duration {
	delay := time.Duration(inputs.rank) * rankDelay
	if !inputs.holderMayResume {
		return delay
	}
	delay += holderTimeout
	if inputs.sinceHeartbeat < holderTimeout {
		delay += activeHolderDelay
	}
	return delay
}

// mayAcquire reports whether it is this node's turn to acquire the lease, given the time
// since which work has been pending. The last holder tries immediately, its successors after
// their takeover delays.
func (e *Elector) mayAcquire(since time.Time) bool {
	last := e.config.Lease.LastObserved()
	if last.Holder == e.config.Node {
		return true
	}
	return e.config.Clock.Since(since) >= takeoverDelay(e.takeoverInputs(last))
}

func (e *Elector) takeoverInputs(last Observation) takeoverInputs {
	inputs := takeoverInputs{rank: e.rank(last.Holder), holderMayResume: last.Holder != "" && !last.Released}
	if inputs.holderMayResume {
		inputs.sinceHeartbeat = e.config.SinceHeartbeat(last.Holder)
	}
	return inputs
}

// RankDelay returns the part of this node's takeover delay that is due to its rank.
func (e *Elector) RankDelay() time.Duration {
	return time.Duration(max(0, e.rank(e.config.Lease.LastObserved().Holder))) * rankDelay
}
