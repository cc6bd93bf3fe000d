package lease

import "time"

const (
	// SendWindow is the time during which the holder may send calls, from the moment when
	// it sent the write that acquired or renewed the lease.
	SendWindow = 2500 * time.Millisecond
	// takeoverMargin is added to the wait of a successor, to allow for timers that fire
	// late and calls in flight.
	takeoverMargin = 200 * time.Millisecond
	// DefaultTakeoverGap is the takeover gap if the settings (dutyLease) specify none.
	DefaultTakeoverGap = 3 * time.Second
)

// state is a node's view of the lease. It performs no I/O and reads no clock, so that a
// model check can explore its transitions. Times are readings of the node's boot-time
// clock.
type state struct {
	node string
	// takeoverGap is the minimum time between the last call of one holder and the first
	// call of the next.
	takeoverGap time.Duration
	// revision is the newest observed revision, firstSeen the time when it was first
	// observed, and holder the node that wrote it.
	revision  uint64
	firstSeen time.Time
	holder    string
	// released means that the holder released the lease with that revision.
	released bool
	// unconfirmed is set after a write of this node that was not answered: it may have been
	// applied, or may still be.
	unconfirmed bool
	// token is the fencing token of this node's tenure, 0 for none. Calls may be sent
	// before sendUntil. tenureStart is the time when the tenure began.
	token       uint64
	sendUntil   time.Time
	tenureStart time.Time
	// heldSince is the time when this process sent the first of its writes that are not
	// followed by a write of another node, as far as this node knows; zero if there is none.
	// An unanswered write ends the tenure but does not reset heldSince: a write of another
	// node would be observed before this node's next write could succeed.
	heldSince time.Time
	// stopped is set once this node has stopped performing duties.
	stopped bool
}

// validToken returns the fencing token, and whether calls may be sent now.
func (s *state) validToken(now time.Time) (uint64, bool) {
	return s.token, s.token != 0 && !s.stopped && now.Before(s.sendUntil)
}

// observe records an observation if it is newer than the last one, and reports whether it is.
func (s *state) observe(now time.Time, observed Observation) bool {
	if observed.Revision <= s.revision {
		return false
	}
	s.revision, s.firstSeen, s.holder, s.released = observed.Revision, now, observed.Holder, observed.Released
	if observed.Holder != s.node {
		s.token, s.heldSince = 0, time.Time{}
	}
	return true
}

// recordRead records the stored lease that was read; a revision of 0 means that there is
// none yet.
func (s *state) recordRead(now time.Time, stored Observation) {
	s.unconfirmed = false
	if stored.Revision > 0 {
		s.observe(now, stored)
	}
}

// recordWrite records that a write of this node was applied as a revision. sent is the time
// when it was sent.
func (s *state) recordWrite(sent time.Time, revision uint64) {
	if s.token == 0 {
		s.tenureStart = sent
	}
	if s.heldSince.IsZero() {
		s.heldSince = sent
	}
	s.revision, s.firstSeen, s.holder, s.released, s.unconfirmed = revision, sent, s.node, false, false
	s.token, s.sendUntil = revision, sent.Add(SendWindow)
}

// recordConflict records that the condition of a write failed, and the lease that is stored
// instead.
func (s *state) recordConflict(now time.Time, stored Observation) {
	s.token, s.unconfirmed = 0, false
	s.observe(now, stored)
}

// recordUnanswered records that a write was not answered: it may have been applied, or may
// still be.
func (s *state) recordUnanswered() { s.token, s.unconfirmed = 0, true }

// stop ends this node's duties permanently.
func (s *state) stop() { s.stopped = true }
