package admission

import (
	"context"
	"math"
	"sync"
	"time"
)

const (
	// decreaseFactor is what remains of the bound after a sign of overload, and
	// decreasePause the least time between two decreases: calls that were under
	// way together tell of the same overload.
	decreaseFactor = 0.7
	decreasePause  = 150 * time.Millisecond
	// leastConcurrency is the lowest bound.
	leastConcurrency = 1
)

// Adaptive bounds how many calls to one service are in progress, as the
// service bears it: each success raises the bound a little, and each sign of
// overload lowers it by a part. It is safe for use by many goroutines.
type Adaptive struct {
	gate *Gate

	mutex       sync.Mutex
	limit       float64
	most        int
	decreasedAt time.Time
}

// NewAdaptive returns a bound that begins at the most.
func NewAdaptive(most int) *Adaptive {
	most = max(leastConcurrency, most)
	return &Adaptive{gate: NewGate(concurrency(float64(most))), limit: float64(most), most: most}
}

// concurrency are bounds on calls in progress alone.
func concurrency(limit float64) Bounds {
	return Bounds{RequestsPerSecond: math.MaxFloat64, MaxInFlight: int(limit), MaxQueue: math.MaxInt}
}

// SetMost changes up to what the bound may rise.
func (a *Adaptive) SetMost(most int) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.most = max(leastConcurrency, most)
	a.setLimit(a.limit)
}

// Enter waits until a further call may begin. Whoever entered must call Leave
// once. The error is a *RefusedError when the context ends.
func (a *Adaptive) Enter(ctx context.Context) error {
	if ctx.Err() != nil {
		return &RefusedError{Reason: ReasonStopping, RetryAfter: retryAfterQueue}
	}
	return a.gate.Enter(ctx, 0)
}

// Leave ends a call and tells whether it showed that the service has too much
// to do.
func (a *Adaptive) Leave(overloaded bool) {
	a.mutex.Lock()
	switch {
	case !overloaded:
		a.setLimit(a.limit + 1/a.limit)
	case time.Since(a.decreasedAt) > decreasePause:
		a.decreasedAt = time.Now()
		a.setLimit(a.limit * decreaseFactor)
	}
	a.mutex.Unlock()
	a.gate.Leave()
}

// Limit is the bound of now.
func (a *Adaptive) Limit() int {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return int(a.limit)
}

// setLimit changes the bound within its range. The mutex must be held.
func (a *Adaptive) setLimit(limit float64) {
	a.limit = min(max(leastConcurrency, limit), float64(a.most))
	a.gate.SetBounds(concurrency(a.limit))
}
