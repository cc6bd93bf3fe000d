package watchcache

import "time"

const (
	// staleAge is the age of the copies from which on a node reads the store itself if its
	// position allows it. It leaves time to try a second parent.
	staleAge = 1200 * time.Millisecond
	// criticalAge is the age of the copies from which on any node reads the store, since
	// those that should read it have failed it.
	criticalAge = 3 * time.Second
	// startTimeout is how long a node without copies follows one that has begun to list:
	// reading the store itself would take as long.
	startTimeout = 5 * time.Second
	// maxUnsureReplies is how many unsure replies in a row make a node leave its parent
	// while the store answers the node. One is not enough: at the end of an outage the
	// store may answer this node a little before its parent has noticed.
	maxUnsureReplies = 2
	// unsureRetryInterval is the time between polls of a parent that is unsure.
	unsureRetryInterval = 300 * time.Millisecond
	// criticalProbeInterval is the least time between probes of the store by a node whose
	// copies have passed criticalAge.
	criticalProbeInterval = 2 * time.Second
)

// pollObservation is what is known after a poll of the parent.
type pollObservation struct {
	outcome  pollOutcome
	position treePosition
	// copyAge is how long ago the copies were last known to be current.
	copyAge time.Duration
	// listed reports that this node has copies of all kinds.
	listed bool
	// storeAnswers reports that the store has just answered a probe of this node; false if
	// there was no probe.
	storeAnswers bool
	// unsureReplies counts the parent's unsure replies in a row while the store answered
	// this node, this one included.
	unsureReplies int
	// suspect reports that a parent was unsure although the store answered this node, and
	// none has been current since; suspectFor is for how long.
	suspect    bool
	suspectFor time.Duration
	// silentBefore reports that the parent has not replied since it was last excluded as
	// silent.
	silentBefore bool
	// narrowerArea reports that the reader of a narrower area can be followed. It is only
	// determined if storeAnswers is set.
	narrowerArea bool
	// sinceRelayLeft is the time since this node last left a relaying parent.
	sinceRelayLeft time.Duration
	// interrupted reports that following was cancelled while waiting for a relaying parent.
	interrupted bool
}

// mayReadStore reports whether this node may read the store: if its position allows it (in
// a tree not before its copies are stale), or if its copies are critically old. In a tree
// the next in rank is followed first, which begins to read when it is polled.
func (o pollObservation) mayReadStore() bool {
	tooEarly := o.position.inTree && o.copyAge <= staleAge
	return (o.position.mayRead && !tooEarly) || o.copyAge > criticalAge
}

// exclusionCause is why a parent is excluded; it sets for how long.
type exclusionCause int

const (
	excludeNone exclusionCause = iota
	excludeSilent
	excludeUnsure
	excludeStaleRelay
	excludeLeaving
)

// decisionReason names the rule that decided.
type decisionReason string

const (
	reasonCurrent         decisionReason = "parent is current"
	reasonLeaving         decisionReason = "parent is stopping"
	reasonSilent          decisionReason = "parent is silent"
	reasonListing         decisionReason = "parent is listing"
	reasonListingTooLong  decisionReason = "parent is not listed in time"
	reasonStoreDown       decisionReason = "store answers neither the parent nor this node"
	reasonUnsureOnce      decisionReason = "parent may not have noticed the end of an outage"
	reasonUnsure          decisionReason = "parent is unsure but the store answers this node"
	reasonInterrupted     decisionReason = "following was cancelled"
	reasonRelayRecent     decisionReason = "copies of a relaying parent are young enough"
	reasonRelayWait       decisionReason = "relaying parent waits for its own parent"
	reasonRelayStale      decisionReason = "relaying parent has no current copies"
	reasonCriticalAndBack decisionReason = "copies are critically old and the store answers this node"
)

// decision is what to do after a poll of the parent.
type decision struct {
	reason decisionReason
	// follow keeps the parent; otherwise this node looks for its position anew.
	follow bool
	// pause is the time to wait before the next poll.
	pause time.Duration
	// exclude excludes the parent, and leaveAreaFor the area's reader for a time if there
	// is a narrower area; 0 for not.
	exclude      exclusionCause
	leaveAreaFor time.Duration
	// readStore makes this node read the store itself for some seconds.
	readStore bool
}

// decideAfterPoll decides whether a node stays with its parent, turns to another one, or
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

// decideSilent leaves a parent that did not reply. At the first time it also leaves the
// area: regions may have lost each other. If the copies are stale, there is no time to try
// another parent.
func decideSilent(observed pollObservation) decision {
	decided := decision{reason: reasonSilent, exclude: excludeSilent}
	if !observed.silentBefore {
		decided.leaveAreaFor = silentExclusion
	}
	decided.readStore = observed.copyAge > staleAge && observed.mayReadStore()
	return decided
}

// decideStarting waits for a parent that has begun to list, unless it was turned to
// because another one was unsure: the copies are then as old as they may be.
func decideStarting(observed pollObservation) decision {
	mayWait := observed.copyAge < staleAge && !observed.suspect
	if observed.outcome == outcomeStarting && !observed.listed {
		mayWait = observed.copyAge < startTimeout
	}
	if mayWait {
		return decision{reason: reasonListing, follow: true}
	}
	return decision{reason: reasonListingTooLong, exclude: excludeUnsure, readStore: observed.mayReadStore()}
}

// decideUnsureReader leaves a reader that the store doesn't answer, if it answers this
// node. The reader of a narrower area is tried before this node reads the store itself.
func decideUnsureReader(observed pollObservation) decision {
	if !observed.storeAnswers {
		return decision{reason: reasonStoreDown, follow: true, pause: unsureRetryInterval}
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

// decideUnsureRelay mostly waits: the nodes above a relaying parent replace one that is
// lost. But the parent may be the one that is cut off, so another one is tried now and
// then.
func decideUnsureRelay(observed pollObservation) decision {
	switch {
	case observed.interrupted:
		return decision{reason: reasonInterrupted, follow: true}
	case observed.copyAge < staleAge:
		return decision{reason: reasonRelayRecent, follow: true}
	case observed.copyAge > criticalAge && observed.storeAnswers:
		return decision{reason: reasonCriticalAndBack, readStore: true}
	case observed.sinceRelayLeft < unsureExclusion:
		return decision{reason: reasonRelayWait, follow: true}
	}
	return decision{reason: reasonRelayStale, exclude: excludeStaleRelay}
}
