package storerelay

import (
	"sync"
	"time"
)

const (
	// helperExclusion is how long a helper that refused a call or didn't reply is excluded.
	helperExclusion = 3 * time.Second
	// answeringTTL is how long a helper counts as answering after the store has responded
	// to it.
	answeringTTL = 2 * time.Second
)

// helperHistory records which helpers failed recently and to which the store responded. It
// is safe for concurrent use.
type helperHistory struct {
	mutex sync.Mutex
	// excludedUntil and answeringUntil are keyed by address.
	excludedUntil  map[string]time.Time
	answeringUntil map[string]time.Time
}

// exclude excludes a helper for helperExclusion.
func (h *helperHistory) exclude(address string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.excludedUntil == nil {
		h.excludedUntil = map[string]time.Time{}
	}
	h.excludedUntil[address] = time.Now().Add(helperExclusion)
	delete(h.answeringUntil, address)
}

// recordAnswering records that the store has responded to a helper.
func (h *helperHistory) recordAnswering(address string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.answeringUntil == nil {
		h.answeringUntil = map[string]time.Time{}
	}
	h.answeringUntil[address] = time.Now().Add(answeringTTL)
}

// isAnswering reports whether the store has responded to a helper within answeringTTL.
func (h *helperHistory) isAnswering(address string) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return time.Now().Before(h.answeringUntil[address])
}

// isExcluded reports whether a helper is excluded.
func (h *helperHistory) isExcluded(address string) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return time.Now().Before(h.excludedUntil[address])
}
