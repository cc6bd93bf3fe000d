package watchcache

import (
	"sync"
	"time"

	"github.com/pathtally/pathtally/internal/clock"
)

// freshness records when the caches were last known to be current. It is safe for
// concurrent use.
type freshness struct {
	clock     clock.Clock
	mutex     sync.Mutex
	currentAt time.Time
}

// markCurrent records that the caches are current now.
func (f *freshness) markCurrent() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.currentAt = f.clock()
}

// markCurrentBefore records that the caches were current the given time ago, unless they
// are known to have been current later.
func (f *freshness) markCurrentBefore(age time.Duration) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if at := f.clock().Add(-age); at.After(f.currentAt) {
		f.currentAt = at
	}
}

// age returns how long ago the caches were last known to be current.
func (f *freshness) age() time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.clock.Since(f.currentAt)
}
