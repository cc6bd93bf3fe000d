package lease

import "time"

// action is the next step in acquiring or keeping the lease.
type action int

const (
	// actionNone: this node has stopped performing duties.
	actionNone action = iota
	// actionWait: calls of another holder may still be in flight.
	actionWait
	// actionRead: the stored lease must be read before it is written.
	actionRead
	// actionTake: this node may write the lease to begin a tenure.
	actionTake
	// actionRenew: this node may write the lease to extend its tenure.
	actionRenew
)

// decision is a node's next action and its parameters.
type decision struct {
	action action
	// wait is the time until the next decision, set for actionWait.
	wait time.Duration
	// replaces is the revision that the write must replace, 0 to create the lease. It is
	// captured together with action: if a later observation reveals a new holder, the
	// conditional write must fail.
	replaces uint64
}

// decide returns the next action. justRead means that the stored lease has just been read
// for this decision.
func (s *state) decide(now time.Time, justRead bool) decision {
	wait := s.takeoverWait(now)
	switch {
	case wait == 0 && !justRead && s.mustRead():
		return decision{action: actionRead}
	case s.stopped:
		return decision{action: actionNone}
	case wait > 0:
		return decision{action: actionWait, wait: wait}
	case s.token == 0:
		return decision{action: actionTake, replaces: s.revision}
	}
	return decision{action: actionRenew, replaces: s.revision}
}

// takeoverWait returns the time until the last possible call of another holder is at least
// the takeover gap ago, 0 if there is nothing to wait for.
func (s *state) takeoverWait(now time.Time) time.Duration {
	if s.revision == 0 || s.holder == s.node || s.released {
		return 0
	}
	return max(0, s.firstSeen.Add(SendWindow+s.takeoverGap+takeoverMargin).Sub(now))
}

// mustRead reports whether the stored lease may differ from this node's state. It does not
// if the newest known revision is a confirmed write of this node.
func (s *state) mustRead() bool { return s.holder != s.node || s.revision == 0 || s.unconfirmed }

// mayRelease reports whether this node may release the lease so that its successor need not
// wait: the calls of its predecessor must be longer ago than the takeover gap.
func (s *state) mayRelease(now time.Time) bool {
	return s.token != 0 && s.holder == s.node && now.Sub(s.tenureStart) >= s.takeoverGap+takeoverMargin
}
