package ingress

import "sync/atomic"

// budget limits the total memory, in bytes, of the bodies of all requests in progress. A
// limit of 0 means no limit. It is safe for concurrent use.
type budget struct {
	limit int64
	used  atomic.Int64
}

// reserve reserves bytes, and returns false if they would exceed the limit.
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

// release returns reserved bytes to the budget.
func (b *budget) release(count int64) {
	if b.limit > 0 {
		b.used.Add(-count)
	}
}
