package watchcache

import "time"

// pollHistory is what the polls of a following node have shown. It is not safe for
// concurrent use.
type pollHistory struct {
	// lastSilent reports that the last poll of a parent had no reply.
	lastSilent bool
	// unsureReplies counts the consecutive unsure replies of the current parent while the
	// store was available to this node.
	unsureReplies int
	// suspectSince is when the first such reply came, from any parent; zero for none.
	suspectSince time.Time
	// relayLeftAt is when this node last left a relaying parent without current caches.
	// probedAt is when it last probed the store because of one.
	relayLeftAt time.Time
	probedAt    time.Time
}

// isSuspect reports whether a parent was unsure while the store was available to this node,
// and no parent has reported current since.
func (h *pollHistory) isSuspect() bool { return !h.suspectSince.IsZero() }

// recordUnsure records the unsure reply of a parent that reads the store itself.
func (h *pollHistory) recordUnsure(storeAvailable bool) {
	if !storeAvailable {
		h.clearSuspect()
		return
	}
	if !h.isSuspect() {
		h.suspectSince = time.Now()
	}
	h.unsureReplies++
}

// clearSuspect resets the record of unsure replies.
func (h *pollHistory) clearSuspect() {
	h.unsureReplies = 0
	h.suspectSince = time.Time{}
}
