package lease

import "time"

const (
	// SendWindow is how long after its write was sent a lease allows calls.
	SendWindow = 2500 * time.Millisecond
	// takeoverMargin is added to the wait of a successor, for timers that fire
	// late and calls on their way.
	takeoverMargin = 200 * time.Millisecond
	// DefaultTerm is the term where the settings (dutyLease) name none.
	DefaultTerm = 3 * time.Second
)

// state is what one node knows of the lease. It does no input or output and
// reads no clock, so that a test can search all that may happen to it.
// Instants are those of the node's boot-time clock.
type state struct {
	node string
	// term is the least time between the last call of one holder and the first of
	// the next.
	term time.Duration
	// revision is the newest one observed, firstSeen when it was first observed, and
	// holder the node that wrote it.
	revision  uint64
	firstSeen time.Time
	holder    string
	// released says that the holder gave the lease up with that revision.
	released bool
	// unconfirmed is set while a write of this node's may have been applied, or may be
	// applied yet.
	unconfirmed bool
	// token is that of this node's tenure, 0 for none; calls may be sent until until.
	// tenureStart is when the tenure began.
	token       uint64
	until       time.Time
	tenureStart time.Time
	// soleSince is when this process sent the first of its writes since which no other
	// node is known to have held the lease, zero if it sent none. An unanswered write
	// ends the tenure but not this: another node's write would be observed before this
	// node's next write could succeed.
	soleSince time.Time
	// stopped is set once this node has given up its duties.
	stopped bool
}

// valid returns the token if calls may be sent now.
func (s *state) valid(now time.Time) (uint64, bool) {
	return s.token, s.token != 0 && !s.stopped && now.Before(s.until)
}

// observe records that a node wrote a revision, and reports whether that was not known.
func (s *state) observe(now time.Time, seen Observation) bool {
	if seen.Revision <= s.revision {
		return false
	}
	s.revision, s.firstSeen, s.holder, s.released = seen.Revision, now, seen.Holder, seen.Released
	if seen.Holder != s.node {
		s.token, s.soleSince = 0, time.Time{}
	}
	return true
}

// recordRead records what a read of the stored lease returned; a revision of 0 means
// that there is none yet.
func (s *state) recordRead(now time.Time, stored Observation) {
	s.unconfirmed = false
	if stored.Revision > 0 {
		s.observe(now, stored)
	}
}

// recordWrite records that a write of this node's, sent at an instant, was applied.
func (s *state) recordWrite(sent time.Time, revision uint64) {
	if s.token == 0 {
		s.tenureStart = sent
	}
	if s.soleSince.IsZero() {
		s.soleSince = sent
	}
	s.revision, s.firstSeen, s.holder, s.released, s.unconfirmed = revision, sent, s.node, false, false
	s.token, s.until = revision, sent.Add(SendWindow)
}

// recordConflict records that a write failed on its condition, with the lease as stored.
func (s *state) recordConflict(now time.Time, stored Observation) {
	s.token, s.unconfirmed = 0, false
	s.observe(now, stored)
}

// recordNoAnswer records that a write may have been applied, or may be applied yet.
func (s *state) recordNoAnswer() { s.token, s.unconfirmed = 0, true }

// stop ends this node's tenure for good.
func (s *state) stop() { s.stopped = true }
