package watchcache

import (
	"context"
	"sync"
	"time"
)

// readMode holds whether this node reads the store, and until when it has to. It is safe
// for concurrent use.
type readMode struct {
	mutex sync.Mutex
	// informers run while this node reads; empty while it follows.
	informers []*Informer
	// requiredUntil is until when this node reads the store whatever its rank.
	requiredUntil time.Time
	// stopFollowing makes follow return, so that the switch to reading doesn't wait for the
	// parent's reply; nil before the first.
	stopFollowing context.CancelFunc
}

// require makes this node read the store for at least the given time.
func (m *readMode) require(duration time.Duration) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.requiredUntil = latest(m.requiredUntil, time.Now().Add(duration))
	if m.stopFollowing != nil {
		m.stopFollowing()
	}
}

// isRequired reports whether this node has to read the store now.
func (m *readMode) isRequired() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return time.Now().Before(m.requiredUntil)
}

// setStopFollowing sets the function that makes follow return.
func (m *readMode) setStopFollowing(stop context.CancelFunc) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.stopFollowing = stop
}

// start records the running informers.
func (m *readMode) start(informers []*Informer) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.informers = informers
}

// stop records that this node has stopped reading.
func (m *readMode) stop() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.informers = nil
}

// isActive reports whether this node reads the store, even if the store is unavailable to
// it.
func (m *readMode) isActive() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return len(m.informers) > 0
}

// isCurrent reports whether this node reads the store and the last call of every informer
// succeeded.
func (m *readMode) isCurrent() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for _, informer := range m.informers {
		if !informer.current.Load() {
			return false
		}
	}
	return len(m.informers) > 0
}
