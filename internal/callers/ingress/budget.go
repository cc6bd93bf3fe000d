package ingress

import "sync/atomic"

// budget bounds the bytes that the bodies of requests in progress may take
// together. It is safe for use by many goroutines.
type budget struct {
	limit int64
	used  atomic.Int64
}

// reserve sets bytes aside, and returns false if there is no room for them.
func (b *budget) reserve(count int64) bool {
	if b.limit <= 0 {
		return true
	}
	if b.used.Add(count) > b.limit {
		b.used.Add(-count)
		return false
	}
	return true
}

// release gives bytes back.
func (b *budget) release(count int64) {
	if b.limit > 0 {
		b.used.Add(-count)
	}
}
