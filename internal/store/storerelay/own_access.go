package storerelay

import (
	"sync"
	"time"
)

// relayAfterFailure is how long after the failure of a call of its own a node makes the next
// ones through a helper, if there is one.
const relayAfterFailure = 2 * time.Second

// ownAccess tracks whether the store answers this node. It is safe for concurrent use.
type ownAccess struct {
	mutex   sync.Mutex
	failing bool
	// failedAt is when the last call failed; zero after an answered one.
	failedAt time.Time
}

// hasFailedRecently reports whether a call failed within relayAfterFailure and none was
// answered since.
func (a *ownAccess) hasFailedRecently() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return time.Since(a.failedAt) < relayAfterFailure
}

// recordFailure records that the store refused or did not answer a call. First reports
// whether it is the first failure since an answer.
func (a *ownAccess) recordFailure() (first bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	first = !a.failing
	a.failing, a.failedAt = true, time.Now()
	return first
}

// recordAnswer records that the store answered a call. Recovered reports whether the last
// one had failed.
func (a *ownAccess) recordAnswer() (recovered bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	recovered = a.failing
	a.failing, a.failedAt = false, time.Time{}
	return recovered
}
