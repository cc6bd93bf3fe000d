package ingress

import "sync/atomic"

// budget bounds the bytes that the bodies of requests in progress may take
// together. It is safe for use by many goroutines.
type budget struct {
	limit int64
	used  atomic.Int64
}

// take sets bytes aside, or tells that there is no room for them.
func (b *budget) take(count int64) bool {
	if b.limit <= 0 {
		return true
	}
	if b.used.Add(count) > b.limit {
		b.used.Add(-count)
		return false
	}
	return true
}

// give returns bytes.
func (b *budget) give(count int64) {
	if b.limit > 0 {
		b.used.Add(-count)
	}
}
