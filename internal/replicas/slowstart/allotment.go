package slowstart

import (
	"sync/atomic"
	"time"
)

// allotment is a number of requests to one replica that this node may send until an
// instant of its boot-time clock.
type allotment struct {
	until time.Time
	left  atomic.Int64
}

// newAllotment returns an allotment of which nothing has been used.
func newAllotment(count int, until time.Time) *allotment {
	made := &allotment{until: until}
	made.left.Store(int64(count))
	return made
}

// take uses one of the requests, if the allotment stands at an instant.
func (a *allotment) take(now time.Time) bool {
	if !now.Before(a.until) {
		return false
	}
	for {
		left := a.left.Load()
		if left <= 0 {
			return false
		}
		if a.left.CompareAndSwap(left, left-1) {
			return true
		}
	}
}

// remaining is how many requests may be sent at an instant.
func (a *allotment) remaining(now time.Time) int {
	if !now.Before(a.until) {
		return 0
	}
	return int(a.left.Load())
}
