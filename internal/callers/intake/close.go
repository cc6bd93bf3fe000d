package intake

import "time"

const (
	// stallTime is how long a write must be blocked before its connection may be closed for
	// the benefit of others.
	stallTime = time.Second
	// endTimeout bounds the wait for a request whose connection was closed to release its memory.
	endTimeout = 500 * time.Millisecond
)

// closeLongest closes the connection that has waited, received or blocked a write for longest. It
// returns false if there is none.
func (l *Listener) closeLongest() bool {
	l.mutex.Lock()
	victim := l.longestStalled()
	if first := l.waiting.Front(); first != nil {
		if waiting := first.Value.(*Connection); victim == nil || waiting.since.Before(victim.since) {
			victim = waiting
		}
	}
	l.mutex.Unlock()
	return l.closeFor(victim, reasonConnections)
}

// closeLongestHead closes the connection that has received a head for longest and releases the
// memory of the head. It returns false if there is none.
func (l *Listener) closeLongestHead() bool {
	l.mutex.Lock()
	victim := l.longestWaiting(func(waiting *Connection) bool { return waiting.headMemory > 0 })
	if victim != nil {
		l.releaseHead(victim)
	}
	l.mutex.Unlock()
	return l.closeFor(victim, reasonHeadMemory)
}

// CloseIncomplete closes the connection that has received the body of a request for longest, and
// waits until the request has ended. It returns false if there is none.
func (l *Listener) CloseIncomplete() bool {
	l.mutex.Lock()
	victim := l.longestWaiting(func(waiting *Connection) bool { return waiting.readsBody.Load() })
	ended := victim.requestEnd()
	l.mutex.Unlock()
	return l.closeFor(victim, reasonIncomplete) && awaitEnd(ended)
}

// CloseUnread closes the connection whose caller has not read a response for longest, and waits
// until the request has ended. It returns false if there is none.
func (l *Listener) CloseUnread() bool {
	l.mutex.Lock()
	victim := l.longestStalled()
	ended := victim.requestEnd()
	l.mutex.Unlock()
	return l.closeFor(victim, reasonUnread) && awaitEnd(ended)
}

// awaitEnd waits until a request has ended, for at most endTimeout, and reports whether it has.
func awaitEnd(ended <-chan struct{}) bool {
	select {
	case <-ended:
		return true
	case <-time.After(endTimeout):
		return false
	}
}

// closeFor closes a connection, unless it is nil or was closed already.
func (l *Listener) closeFor(victim *Connection, reason string) bool {
	if victim == nil {
		return false
	}
	l.metrics.count(l.name, reason)
	victim.Close()
	return true
}

// longestWaiting returns the first of the waiting connections that fulfils a condition, or nil. The
// mutex must be held.
func (l *Listener) longestWaiting(fulfils func(*Connection) bool) *Connection {
	for element := l.waiting.Front(); element != nil; element = element.Next() {
		if waiting := element.Value.(*Connection); fulfils(waiting) {
			return waiting
		}
	}
	return nil
}

// longestStalled returns the connection that was served first of those that block a write for at
// least stallTime, or nil. The mutex must be held.
func (l *Listener) longestStalled() *Connection {
	var longest *Connection
	for served := range l.served {
		if served.stalls() && (longest == nil || served.since.Before(longest.since)) {
			longest = served
		}
	}
	return longest
}
