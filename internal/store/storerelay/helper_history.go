package storerelay

import (
	"sync"
	"time"
)

const (
	// helperExclusion is how long a helper that refused a call or didn't reply is excluded.
	helperExclusion = 3 * time.Second
	// availableTTL is how long a helper counts as available after the store has responded
	// to it.
	availableTTL = 2 * time.Second
)

// helperHistory records which helpers failed recently and to which the store responded. It
// is safe for concurrent use.
type helperHistory struct {
	mutex sync.Mutex
	// excludedUntil and availableUntil are keyed by address.
	excludedUntil  map[string]time.Time
	availableUntil map[string]time.Time
}

// exclude excludes a helper for helperExclusion.
func (h *helperHistory) exclude(address string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.excludedUntil == nil {
		h.excludedUntil = map[string]time.Time{}
	}
	h.excludedUntil[address] = time.Now().Add(helperExclusion)
	delete(h.availableUntil, address)
}

// recordAvailable records that the store has responded to a helper.
func (h *helperHistory) recordAvailable(address string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.availableUntil == nil {
		h.availableUntil = map[string]time.Time{}
	}
	h.availableUntil[address] = time.Now().Add(availableTTL)
}

// isAvailable reports whether the store has responded to a helper within availableTTL.
func (h *helperHistory) isAvailable(address string) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return time.Now().Before(h.availableUntil[address])
}

// isExcluded reports whether a helper is excluded.
func (h *helperHistory) isExcluded(address string) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return time.Now().Before(h.excludedUntil[address])
}
