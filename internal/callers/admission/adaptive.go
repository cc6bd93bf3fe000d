package admission

import (
	"context"
	"math"
	"sync"
	"time"
)

const (
	// decreaseFactor is the part of the limit, between 0 and 1, that remains after a sign
	// of overload, and decreaseInterval the least time between two decreases: calls that
	// were in flight together show the same overload.
	decreaseFactor   = 0.7
	decreaseInterval = 150 * time.Millisecond
	// minConcurrency is the lowest limit, in calls.
	minConcurrency = 1
)

// Adaptive limits the calls to one service that are in flight, by additive increase and
// multiplicative decrease: as many successes as the limit raise it by one, and a sign of
// overload lowers it by a part. It is safe for use by many goroutines.
type Adaptive struct {
	gate *Gate

	mutex       sync.Mutex
	limit       float64
	maximum     int
	decreasedAt time.Time
}

// NewAdaptive returns a limit that begins at its maximum, in calls.
func NewAdaptive(maximum int) *Adaptive {
	maximum = max(minConcurrency, maximum)
	return &Adaptive{gate: NewGate(concurrency(float64(maximum))), limit: float64(maximum), maximum: maximum}
}

// concurrency returns bounds on the calls in flight alone.
func concurrency(limit float64) Bounds {
	return Bounds{RequestsPerSecond: math.MaxFloat64, MaxInFlight: int(limit), MaxQueue: math.MaxInt}
}

// SetMost changes the maximum, in calls.
func (a *Adaptive) SetMost(maximum int) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.maximum = max(minConcurrency, maximum)
	a.setLimit(a.limit)
}

// Enter waits until a further call may begin. Whoever entered must call Leave once. The
// error is a *RefusedError once the context has ended.
func (a *Adaptive) Enter(ctx context.Context) error {
	if ctx.Err() != nil {
		return newRefusal(ReasonStopping)
	}
	return a.gate.Enter(ctx, 0)
}

// Leave ends a call. Overloaded is set if the call showed that the service has too much to
// do.
func (a *Adaptive) Leave(overloaded bool) {
	a.mutex.Lock()
	switch {
	case !overloaded:
		a.setLimit(a.limit + 1/a.limit)
	case time.Since(a.decreasedAt) > decreaseInterval:
		a.decreasedAt = time.Now()
		a.setLimit(a.limit * decreaseFactor)
	}
	a.mutex.Unlock()
	a.gate.Leave()
}

// Limit returns the current limit, in calls.
func (a *Adaptive) Limit() int {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return int(a.limit)
}

// setLimit changes the limit within its range. The mutex must be held.
func (a *Adaptive) setLimit(limit float64) {
	a.limit = min(max(minConcurrency, limit), float64(a.maximum))
	a.gate.SetBounds(concurrency(a.limit))
}
