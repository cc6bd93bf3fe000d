package admission

import (
	"context"
	"math"
	"sync"
	"time"
)

const (
	// decreaseFactor is the factor, between 0 and 1, by which the limit decreases on
	// overload. decreaseInterval is the minimum time between two decreases, so that calls in
	// flight at the same time, which report the same overload, decrease the limit once.
	decreaseFactor   = 0.7
	decreaseInterval = 150 * time.Millisecond
	// minConcurrency is the minimum limit, in calls.
	minConcurrency = 1
)

// Adaptive limits the calls in flight to one service by additive increase and multiplicative
// decrease (AIMD): a number of successful calls equal to the limit increases it by one, and an
// overloaded call multiplies it by decreaseFactor. It is safe for concurrent use.
type Adaptive struct {
	gate *Gate

	mutex       sync.Mutex
	limit       float64
	maximum     int
	decreasedAt time.Time
}

// NewAdaptive returns an Adaptive whose limit starts at the maximum, in calls.
func NewAdaptive(maximum int) *Adaptive {
	maximum = max(minConcurrency, maximum)
	return &Adaptive{gate: NewGate(concurrencyBounds(float64(maximum))), limit: float64(maximum), maximum: maximum}
}

// concurrencyBounds returns Bounds that limit only the number of calls in flight.
func concurrencyBounds(limit float64) Bounds {
	return Bounds{RequestsPerSecond: math.MaxFloat64, MaxInFlight: int(limit), MaxQueue: math.MaxInt}
}

// SetMaximum changes the maximum, in calls, and lowers the limit to it if necessary.
func (a *Adaptive) SetMaximum(maximum int) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.maximum = max(minConcurrency, maximum)
	a.setLimit(a.limit)
}

// Enter waits until another call may start. After Enter succeeds, Leave must be called exactly
// once. The error is a *RefusedError, returned if the context ends first.
func (a *Adaptive) Enter(ctx context.Context) error {
	if ctx.Err() != nil {
		return newRefusal(ReasonStopping)
	}
	return a.gate.Enter(ctx, 0)
}

// Leave ends a call. overloaded reports whether the call showed that the service is
// overloaded.
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

// setLimit sets the limit, clamped to minConcurrency and the maximum. The mutex must be held.
func (a *Adaptive) setLimit(limit float64) {
	a.limit = min(max(minConcurrency, limit), float64(a.maximum))
	a.gate.SetBounds(concurrencyBounds(a.limit))
}
