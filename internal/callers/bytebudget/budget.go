// Package bytebudget limits the memory of bodies that several requests hold at the same time.
package bytebudget

import "sync/atomic"

// maxReliefs bounds how often one reservation has others give way.
const maxReliefs = 16

// Budget limits a number of bytes in use. A nil Budget has no limit. It is safe for concurrent use.
type Budget struct {
	limit int64
	used  atomic.Int64
	// Relieve ends a holder of the budget that makes no progress. It returns false if there is
	// none. It must be set before the first reservation; nil for none.
	Relieve func() bool
}

// New returns a Budget with a limit in bytes; 0 means no limit.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// Reserve reserves bytes. If they would exceed the limit, it has other holders give way, and returns
// false if that is not enough.
func (b *Budget) Reserve(count int64) bool {
	if b == nil || b.limit <= 0 {
		return true
	}
	for range maxReliefs {
		if b.used.Add(count) <= b.limit {
			return true
		}
		b.used.Add(-count)
		if count > b.limit || b.Relieve == nil || !b.Relieve() {
			return false
		}
	}
	return false
}

// Release returns reserved bytes to the budget.
func (b *Budget) Release(count int64) {
	if b != nil && b.limit > 0 {
		b.used.Add(-count)
	}
}

// Used returns the number of reserved bytes, 0 without a limit.
func (b *Budget) Used() int64 { return b.used.Load() }
