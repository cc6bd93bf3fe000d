package slowstart

import (
	"sync/atomic"
	"time"
)

// allotment is a number of permits for one replica that this node may use until the given
// time of its boot-time clock.
type allotment struct {
	until   time.Time
	permits atomic.Int64
}

// newAllotment returns an allotment with the given number of unused permits.
func newAllotment(count int, until time.Time) *allotment {
	granted := &allotment{until: until}
	granted.permits.Store(int64(count))
	return granted
}

// take uses one permit. It returns false if none is left or the allotment has expired.
func (a *allotment) take(now time.Time) bool {
	if !now.Before(a.until) {
		return false
	}
	for {
		permits := a.permits.Load()
		if permits <= 0 {
			return false
		}
		if a.permits.CompareAndSwap(permits, permits-1) {
			return true
		}
	}
}

// remaining returns the number of unused permits, 0 once the allotment has expired.
func (a *allotment) remaining(now time.Time) int {
	if !now.Before(a.until) {
		return 0
	}
	return int(a.permits.Load())
}
