// Package bytebudget limits the memory of bodies that several requests hold at the same time.
package bytebudget

import "sync/atomic"

// Budget limits a number of bytes in use. A nil Budget has no limit. It is safe for concurrent use.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// New returns a Budget with a limit in bytes; 0 means no limit.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// Reserve reserves bytes, and returns false if they would exceed the limit.
func (b *Budget) Reserve(count int64) bool {
	if b == nil || b.limit <= 0 {
		return true
	}
	if b.used.Add(count) > b.limit {
		b.used.Add(-count)
		return false
	}
	return true
}

// Release returns reserved bytes to the budget.
func (b *Budget) Release(count int64) {
	if b != nil && b.limit > 0 {
		b.used.Add(-count)
	}
}

// Used returns the number of reserved bytes, 0 without a limit.
func (b *Budget) Used() int64 { return b.used.Load() }
