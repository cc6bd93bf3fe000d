package forward

import (
	"sync"

	"github.com/pathtally/pathtally/internal/callers/bytebudget"
)

// reservation is the part of the budget of responses that one request holds, for all of its attempts.
// It is safe for concurrent use.
type reservation struct {
	budget *bytebudget.Budget
	mutex  sync.Mutex
	held   int64
	closed bool
}

// reserve reserves bytes. It returns false if the budget is exhausted or the request has ended.
func (r *reservation) reserve(count int64) bool {
	if !r.budget.Reserve(count) {
		return false
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.closed {
		r.budget.Release(count)
		return false
	}
	r.held += count
	return true
}

// release returns bytes of an attempt that failed.
func (r *reservation) release(count int64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if !r.closed {
		r.held -= count
		r.budget.Release(count)
	}
}

// close returns all bytes. Attempts that have not ended can reserve no more.
func (r *reservation) close() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if !r.closed {
		r.closed = true
		r.budget.Release(r.held)
	}
}
