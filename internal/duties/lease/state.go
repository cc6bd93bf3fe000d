package lease

import "time"

const (
	// SendWindow is for how long after its write was sent a lease allows calls.
	SendWindow = 2500 * time.Millisecond
	// takeoverMargin is added to the wait of a successor, for timers that fire
	// late and calls on their way.
	takeoverMargin = 200 * time.Millisecond
	// DefaultTerm is the term where the settings (dutyLease) name none.
	DefaultTerm = 3 * time.Second
)

// state is what one node knows of the lease. It does no input or output and
// reads no clock, so that a test can go through all that may happen to it.
// Instants are those of the node's boot-time clock.
type state struct {
	node string
	// term is for how long after a holder's last call no other holder may call.
	term time.Duration
	// revision is the newest one seen, when it was first seen, and whose it is.
	revision uint64
	seen     time.Time
	holder   string
	// released tells that the holder gave the lease up with that revision.
	released bool
	// unsure is set while a write of this node's may have been done.
	unsure bool
	// token is that of this node's tenure, 0 for none; calls may be sent until an
	// instant. since is when the tenure began.
	token uint64
	until time.Time
	since time.Time
	// alone is when this process sent the first of its writes since which no other
	// node is known to have held the lease, zero where it sent none. A write without
	// an answer ends the tenure and not this: another node's write would have been
	// seen before the next write of this one's could be done.
	alone time.Time
	// stopped is set once this node wants the lease no more.
	stopped bool
}

// valid returns the token if calls may be sent now.
func (s *state) valid(now time.Time) (uint64, bool) {
	return s.token, s.token != 0 && !s.stopped && now.Before(s.until)
}

// observe takes the word that a node wrote a revision, and tells whether it is
// news.
func (s *state) observe(now time.Time, holder string, revision uint64, released bool) bool {
	if revision <= s.revision {
		return false
	}
	s.revision, s.seen, s.holder, s.released = revision, now, holder, released
	if holder != s.node {
		s.token, s.alone = 0, time.Time{}
	}
	return true
}

// wait is for how long another node may still send calls, or its last calls bar
// others from sending any, as far as is known.
func (s *state) wait(now time.Time) time.Duration {
	if s.revision == 0 || s.holder == s.node || s.released {
		return 0
	}
	return max(0, s.seen.Add(SendWindow+s.term+takeoverMargin).Sub(now))
}

// mustRead tells whether the lease has to be read before it is written: unless
// this node wrote the newest revision and knows so.
func (s *state) mustRead() bool { return s.holder != s.node || s.revision == 0 || s.unsure }

// wasRead records what a reading of the lease brought; a revision of 0 means that
// there is none yet.
func (s *state) wasRead(now time.Time, holder string, revision uint64, released bool) {
	s.unsure = false
	if revision > 0 {
		s.observe(now, holder, revision, released)
	}
}

// wrote records that a write of this node's, sent at an instant, was done.
func (s *state) wrote(sent time.Time, revision uint64) {
	if s.token == 0 {
		s.since = sent
	}
	if s.alone.IsZero() {
		s.alone = sent
	}
	s.revision, s.seen, s.holder, s.released, s.unsure = revision, sent, s.node, false, false
	s.token, s.until = revision, sent.Add(SendWindow)
}

// conflicted records that a write failed since another stood in its way.
func (s *state) conflicted(now time.Time, holder string, revision uint64, released bool) {
	s.token, s.unsure = 0, false
	s.observe(now, holder, revision, released)
}

// unanswered records that a write may have been done, or may yet be.
func (s *state) unanswered() { s.token, s.unsure = 0, true }

// mayRelease tells whether a successor need not wait once this node has stopped.
func (s *state) mayRelease(now time.Time) bool {
	return s.token != 0 && s.holder == s.node && now.Sub(s.since) >= s.term+takeoverMargin
}

// stop ends this node's tenure for good.
func (s *state) stop() { s.stopped = true }
