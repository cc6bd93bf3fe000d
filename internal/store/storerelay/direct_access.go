package storerelay

import (
	"sync"
	"time"
)

// relayAfterFailure is how long after a failed direct call the next calls go through a
// helper, if there is one.
const relayAfterFailure = 2 * time.Second

// directAccess tracks whether the store responds to direct calls. It is safe for concurrent
// use.
type directAccess struct {
	mutex   sync.Mutex
	failing bool
	// failedAt is when the last direct call failed; zero after a successful one.
	failedAt time.Time
}

// hasFailedRecently reports whether a direct call failed within relayAfterFailure and none
// has succeeded since.
func (a *directAccess) hasFailedRecently() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return time.Since(a.failedAt) < relayAfterFailure
}

// recordFailure records a failed direct call. First reports whether it is the first failure
// since a success.
func (a *directAccess) recordFailure() (first bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	first = !a.failing
	a.failing, a.failedAt = true, time.Now()
	return first
}

// recordSuccess records a direct call to which the store responded. Recovered reports
// whether the previous one failed.
func (a *directAccess) recordSuccess() (recovered bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	recovered = a.failing
	a.failing, a.failedAt = false, time.Time{}
	return recovered
}
