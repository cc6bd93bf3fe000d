package watchcache

import (
	"context"
	"time"

	"github.com/pathtally/pathtally/internal/environment"
	"github.com/pathtally/pathtally/internal/wire"
)

// pollOutcome is the outcome of a poll, as in metrics and logs.
type pollOutcome string

const (
	// outcomeCurrent means that the node's caches are current.
	outcomeCurrent pollOutcome = "current"
	// outcomeUnsure means that the store is unavailable to the node, or its reply could not
	// be decoded.
	outcomeUnsure pollOutcome = "unsure"
	// outcomeLeaving means that the node is stopping.
	outcomeLeaving pollOutcome = "leaving"
	// outcomeSilent means that the node did not reply in time.
	outcomeSilent pollOutcome = "silent"
	// outcomeStarting means that the node has begun to list.
	outcomeStarting pollOutcome = "starting"
	// outcomeUnlisted means that the node, which runs an earlier version, doesn't know all
	// kinds.
	outcomeUnlisted pollOutcome = "unlisted"
)

// pollTarget is a node to poll and the kind of poll.
type pollTarget struct {
	node Node
	// direct accepts only a node to which the store itself is available as current.
	direct bool
	// relayed tells the node that it is polled as one that follows another node.
	relayed bool
}

// pollResult is the result of a poll. ApplyTime is how long its changes took to apply, 0 if
// there were none.
type pollResult struct {
	outcome   pollOutcome
	applyTime time.Duration
}

// poll polls a node once and applies the changes in its reply.
func (s *Source) poll(ctx context.Context, target pollTarget, timing pollTiming) pollResult {
	request := s.newPoll(target, timing.hold)
	message, err := environment.Call(ctx, s.config.Peers, target.node.Address, request, timing.timeout)
	reply, isReply := message.(*wire.WatchNews)
	if err != nil || !isReply {
		return pollResult{outcome: outcomeSilent}
	}
	s.exclusions.recordReply(target.node.Name)
	start := time.Now()
	err = s.apply(request, reply)
	result := pollResult{}
	if len(reply.Kinds) > 0 {
		result.applyTime = max(time.Since(start), 1)
	}
	if err != nil {
		s.config.Logger.Error(err, "failed to apply the reply of a reader", "reader", target.node.Name)
		result.outcome = outcomeUnsure
		return result
	}
	result.outcome = s.acceptReply(target.node, reply)
	return result
}

// newPoll returns the message that polls a node, with the revisions of all caches.
func (s *Source) newPoll(target pollTarget, hold time.Duration) *wire.WatchPoll {
	poll := &wire.WatchPoll{WaitMs: uint32(hold.Milliseconds()), Direct: target.direct, Relay: target.relayed, Compressed: true}
	for _, cache := range s.caches {
		poll.Kinds = append(poll.Kinds, wire.KindRevision{Kind: cache.kind, Revision: cache.Revision()})
	}
	return poll
}

// acceptReply returns the outcome of a poll whose changes were applied. If the node is
// current, it records the peer to which the store is available and the age of the caches.
func (s *Source) acceptReply(node Node, reply *wire.WatchNews) pollOutcome {
	outcome := outcomeOf(wire.ReaderState(reply.Standing))
	if outcome != outcomeCurrent {
		return outcome
	}
	if !s.listed() {
		return outcomeUnlisted
	}
	accessAddress := node.Address
	if reply.Through != "" {
		accessAddress = reply.Through
	}
	s.accessPeer.recordCurrent(accessAddress)
	s.freshness.markCurrentBefore(time.Duration(reply.AgeMs) * time.Millisecond)
	return outcomeCurrent
}

func outcomeOf(state wire.ReaderState) pollOutcome {
	switch state {
	case wire.ReaderCurrent:
		return outcomeCurrent
	case wire.ReaderLeaving:
		return outcomeLeaving
	case wire.ReaderStarting:
		return outcomeStarting
	}
	return outcomeUnsure
}
