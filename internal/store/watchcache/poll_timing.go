package watchcache

import "time"

const (
	// pollHold is how long a node holds a poll without changes. replyMargin is how much
	// later the reply may arrive before the node counts as silent.
	pollHold    = 400 * time.Millisecond
	replyMargin = 350 * time.Millisecond
	// shortHold is the hold for a node that is tried because another one was unsure or
	// silent. It is longer than a listing of the store takes. With shortReplyMargin, losing
	// two nodes of a tree at once costs less than staleAge.
	shortHold        = 150 * time.Millisecond
	shortReplyMargin = 200 * time.Millisecond
	// listingReplyMargin is the margin for the first reply in a tree, which holds a listing
	// of all replicas, possibly for many starting nodes over the same link.
	listingReplyMargin = 2500 * time.Millisecond
	// minPollPause is how long a node of a tree waits after changes before it polls again,
	// so that changes in quick succession cost one message on each link. After changes that
	// took long to apply it waits applyPauseFactor times as long, at most maxPollPause,
	// which leaves a small node time for its callers.
	minPollPause     = 150 * time.Millisecond
	applyPauseFactor = 4
	maxPollPause     = 400 * time.Millisecond
)

// pollTiming is how long the polled node holds a poll without changes, and how long the
// polling node waits for the reply.
type pollTiming struct {
	hold    time.Duration
	timeout time.Duration
}

// defaultTiming is the timing of polls in normal operation, and of polls of helpers.
var defaultTiming = pollTiming{hold: pollHold, timeout: pollHold + replyMargin}

// timingInput is the input of timingOf.
type timingInput struct {
	// inTree reports that this node's area is a tree.
	inTree bool
	// listed reports that this node has listed all kinds.
	listed bool
	// lastSilent reports that the previous poll had no reply.
	lastSilent bool
	// suspect reports that a node was unsure while the store was available to this one, and
	// that no node has reported current since.
	suspect bool
}

// timingOf returns the hold and the timeout of a poll of the parent.
func timingOf(input timingInput) pollTiming {
	switch {
	case input.inTree && !input.listed:
		return pollTiming{hold: pollHold, timeout: pollHold + listingReplyMargin}
	case input.inTree && input.lastSilent:
		return pollTiming{hold: shortHold, timeout: shortHold + shortReplyMargin}
	case input.suspect:
		return pollTiming{hold: shortHold, timeout: pollHold + replyMargin}
	}
	return defaultTiming
}

// pauseAfter returns how long to wait before the next poll of the same node.
func pauseAfter(result pollResult, inTree bool) time.Duration {
	if result.outcome != outcomeCurrent || !inTree || result.applyTime == 0 {
		return 0
	}
	return min(max(minPollPause, applyPauseFactor*result.applyTime), maxPollPause)
}
