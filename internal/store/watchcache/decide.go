package watchcache

import "time"

const (
	// staleAge is the cache age above which a node reads the store itself, if its position
	// allows that. It leaves time to try a second parent.
	staleAge = 1200 * time.Millisecond
	// criticalAge is the cache age above which any node reads the store, since the nodes
	// that should read it have failed to.
	criticalAge = 3 * time.Second
	// startTimeout is how long a node with empty caches follows a parent that has begun to
	// list. Reading the store itself would take as long.
	startTimeout = 5 * time.Second
	// maxUnsureReplies is the number of consecutive unsure replies after which a node
	// leaves its parent while the store is available to the node. It is more than one
	// because at the end of an outage this node may see the store recover before its parent
	// does.
	maxUnsureReplies = 2
	// unsureRetryInterval is the time between polls of a parent that reports unsure.
	unsureRetryInterval = 300 * time.Millisecond
	// criticalProbeInterval is the least time between probes of the store by a node whose
	// cache age exceeds criticalAge.
	criticalProbeInterval = 2 * time.Second
)

// pollObservation is what is known after a poll of the parent.
type pollObservation struct {
	outcome  pollOutcome
	position treePosition
	// cacheAge is how long ago the caches were last known to be current.
	cacheAge time.Duration
	// listed reports that this node has listed all kinds.
	listed bool
	// storeAvailable reports that a probe of the store has just succeeded; false without a
	// probe.
	storeAvailable bool
	// unsureReplies counts the parent's consecutive unsure replies while the store was
	// available to this node, including this one.
	unsureReplies int
	// suspect reports that a parent was unsure while the store was available to this node,
	// and that no parent has reported current since. suspectFor is for how long.
	suspect    bool
	suspectFor time.Duration
	// silentBefore reports that the parent has not replied since it was last excluded as
	// silent.
	silentBefore bool
	// narrowerArea reports that the reader of a narrower area can be followed. It is only
	// set together with storeAvailable.
	narrowerArea bool
	// sinceRelayLeft is the time since this node last left a relaying parent.
	sinceRelayLeft time.Duration
	// interrupted reports that following was cancelled while waiting for a relaying parent.
	interrupted bool
}

// mayReadStore reports whether this node may read the store: if its position allows it, or
// if the cache age is critical. In a tree, a position allows it only once the caches are
// stale, because a node first tries the next parent, which starts to read when it is
// polled.
func (o pollObservation) mayReadStore() bool {
	tooEarly := o.position.inTree && o.cacheAge <= staleAge
	return (o.position.mayRead && !tooEarly) || o.cacheAge > criticalAge
}

// exclusionCause is why a parent is excluded. It determines for how long.
type exclusionCause int

const (
	excludeNone exclusionCause = iota
	excludeSilent
	excludeUnsure
	excludeStaleRelay
	excludeLeaving
)

// decisionReason is the rule that led to a decision, for logs.
type decisionReason string

const (
	reasonCurrent                decisionReason = "parent is current"
	reasonLeaving                decisionReason = "parent is stopping"
	reasonSilent                 decisionReason = "parent did not reply"
	reasonListing                decisionReason = "parent is listing"
	reasonListingTimeout         decisionReason = "parent did not list in time"
	reasonStoreUnavailable       decisionReason = "store is unavailable to the parent and to this node"
	reasonUnsureOnce             decisionReason = "parent may not have detected the end of an outage"
	reasonUnsure                 decisionReason = "parent is unsure but the store is available to this node"
	reasonInterrupted            decisionReason = "following was cancelled"
	reasonRelayFresh             decisionReason = "caches behind a relaying parent are fresh enough"
	reasonRelayWait              decisionReason = "relaying parent is given time to recover"
	reasonRelayStale             decisionReason = "relaying parent has no current caches"
	reasonCriticalStoreAvailable decisionReason = "cache age is critical and the store is available to this node"
)

// decision is what to do after a poll of the parent.
type decision struct {
	reason decisionReason
	// follow keeps the parent; otherwise this node determines its position again.
	follow bool
	// pause is the time to wait before the next poll.
	pause time.Duration
	// exclude is why the parent is excluded. leaveAreaFor is how long the area's reader is
	// excluded, if there is a narrower area; 0 for not.
	exclude      exclusionCause
	leaveAreaFor time.Duration
	// readStore makes this node read the store itself for directReadTime.
	readStore bool
}

// decideAfterPoll decides whether a node stays with its parent, switches to another one, or
// reads the store itself. It has no side effects.
func decideAfterPoll(observed pollObservation) decision {
	switch observed.outcome {
	case outcomeCurrent:
		return decision{reason: reasonCurrent, follow: true}
	case outcomeLeaving:
		return decision{reason: reasonLeaving, exclude: excludeLeaving}
	case outcomeSilent:
		return decideSilent(observed)
	case outcomeStarting, outcomeUnlisted:
		return decideStarting(observed)
	}
	if observed.position.relayed {
		return decideUnsureRelay(observed)
	}
	return decideUnsureReader(observed)
}

// decideSilent leaves a parent that did not reply. At the first missing reply it also
// leaves the area, since the connection between regions may be lost. If the caches are
// stale, there is no time to try another parent.
func decideSilent(observed pollObservation) decision {
	decided := decision{reason: reasonSilent, exclude: excludeSilent}
	if !observed.silentBefore {
		decided.leaveAreaFor = silentExclusion
	}
	decided.readStore = observed.cacheAge > staleAge && observed.mayReadStore()
	return decided
}

// decideStarting waits for a parent that has begun to list. It doesn't wait if this node
// follows that parent because another one was unsure: the caches are then about to become
// stale.
func decideStarting(observed pollObservation) decision {
	mayWait := observed.cacheAge < staleAge && !observed.suspect
	if observed.outcome == outcomeStarting && !observed.listed {
		mayWait = observed.cacheAge < startTimeout
	}
	if mayWait {
		return decision{reason: reasonListing, follow: true}
	}
	return decision{reason: reasonListingTimeout, exclude: excludeUnsure, readStore: observed.mayReadStore()}
}

// decideUnsureReader leaves a reader to which the store is unavailable, if it is available
// to this node. This node tries the reader of a narrower area before it reads the store
// itself.
func decideUnsureReader(observed pollObservation) decision {
	if !observed.storeAvailable {
		return decision{reason: reasonStoreUnavailable, follow: true, pause: unsureRetryInterval}
	}
	if observed.unsureReplies < maxUnsureReplies {
		return decision{reason: reasonUnsureOnce, follow: true, pause: unsureRetryInterval}
	}
	tryNarrower := observed.narrowerArea && observed.suspectFor < staleAge
	return decision{
		reason:       reasonUnsure,
		exclude:      excludeUnsure,
		leaveAreaFor: unsureExclusion,
		readStore:    !tryNarrower && observed.mayReadStore(),
	}
}

// decideUnsureRelay mostly waits, since the nodes above a relaying parent replace a lost
// one. The parent itself may be disconnected, so another one is tried every
// unsureExclusion.
func decideUnsureRelay(observed pollObservation) decision {
	switch {
	case observed.interrupted:
		return decision{reason: reasonInterrupted, follow: true}
	case observed.cacheAge < staleAge:
		return decision{reason: reasonRelayFresh, follow: true}
	case observed.cacheAge > criticalAge && observed.storeAvailable:
		return decision{reason: reasonCriticalStoreAvailable, readStore: true}
	case observed.sinceRelayLeft < unsureExclusion:
		return decision{reason: reasonRelayWait, follow: true}
	}
	return decision{reason: reasonRelayStale, exclude: excludeStaleRelay}
}
