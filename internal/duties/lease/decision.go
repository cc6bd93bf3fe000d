package lease

import "time"

// action is the next step towards getting or keeping the lease.
type action int

const (
	// actionNone: this node has given up its duties.
	actionNone action = iota
	// actionWait: another holder's calls may still be on their way.
	actionWait
	// actionRead: the stored lease has to be read before it is written.
	actionRead
	// actionTake: the lease is free for this node to begin a tenure.
	actionTake
	// actionRenew: the write prolongs this node's tenure.
	actionRenew
)

// decision is what a node does next about the lease.
type decision struct {
	action action
	// wait is the time until the next decision, set for actionWait.
	wait time.Duration
	// replaces is the revision that a write replaces, 0 to create the lease. It belongs
	// to the same moment as action: an observation made later may bring a holder that
	// has to be waited for, and must make the write's condition fail.
	replaces uint64
}

// decide returns what to do next to get or keep the lease. justRead says that the stored
// lease was read for this decision.
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

// takeoverWait returns how long calls of another holder may still be sent, or be less
// than the term ago.
func (s *state) takeoverWait(now time.Time) time.Duration {
	if s.revision == 0 || s.holder == s.node || s.released {
		return 0
	}
	return max(0, s.firstSeen.Add(SendWindow+s.term+takeoverMargin).Sub(now))
}

// mustRead reports whether the stored lease may differ from what this node knows: only
// a node whose own confirmed write is the newest revision need not read.
func (s *state) mustRead() bool { return s.holder != s.node || s.revision == 0 || s.unconfirmed }

// mayRelease reports whether a successor need not wait once this node has stopped: its
// predecessor's calls are then longer ago than the term.
func (s *state) mayRelease(now time.Time) bool {
	return s.token != 0 && s.holder == s.node && now.Sub(s.tenureStart) >= s.term+takeoverMargin
}
