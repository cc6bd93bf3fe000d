package admission

import (
	"container/heap"
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// Bounds are the limits that a Gate enforces, in requests.
type Bounds struct {
	RequestsPerSecond float64
	Burst             int
	MaxInFlight       int
	MaxQueue          int
}

// Gate limits the rate and the concurrency of the requests of one traffic group on one node,
// and queues requests by priority. It is safe for concurrent use.
type Gate struct {
	limiter  *rate.Limiter
	bounds   atomic.Pointer[Bounds]
	mutex    sync.Mutex
	inFlight int
	queue    waiterHeap
	sequence uint64
	stopping bool
}

// NewGate returns a gate with the given bounds.
func NewGate(bounds Bounds) *Gate {
	gate := &Gate{limiter: rate.NewLimiter(rate.Limit(bounds.RequestsPerSecond), bounds.Burst)}
	gate.bounds.Store(&bounds)
	return gate
}

// SetBounds changes the bounds. Requests in flight continue.
func (g *Gate) SetBounds(bounds Bounds) {
	if *g.bounds.Load() == bounds {
		return
	}
	g.bounds.Store(&bounds)
	g.limiter.SetLimit(rate.Limit(bounds.RequestsPerSecond))
	g.limiter.SetBurst(bounds.Burst)
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.admitWaiting()
}

// InFlight returns the number of requests in flight.
func (g *Gate) InFlight() int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.inFlight
}

// Queued returns the number of requests in the queue.
func (g *Gate) Queued() int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return len(g.queue)
}

// Enter admits a request, if necessary after it has waited in the queue, or refuses it with a
// *RefusedError. Requests with a higher priority number are admitted first. After Enter
// succeeds, Leave must be called exactly once. The wait ends when the context does.
func (g *Gate) Enter(ctx context.Context, priority int) error {
	now := time.Now()
	if reservation := g.limiter.ReserveN(now, 1); reservation.DelayFrom(now) > 0 {
		delay := reservation.DelayFrom(now)
		reservation.CancelAt(now)
		return &RefusedError{Reason: ReasonRate, RetryAfter: delay}
	}
	waiting, err := g.enterOrQueue(priority)
	if waiting == nil {
		return err
	}
	select {
	case err := <-waiting.result:
		return err
	case <-ctx.Done():
		return g.cancelWait(ctx, waiting)
	}
}

// enterOrQueue admits a request (nil, nil), queues it (waiter, nil) or refuses it (nil, error).
func (g *Gate) enterOrQueue(priority int) (*waiter, error) {
	bounds := g.bounds.Load()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	switch decide(bounds, g.stopping, g.inFlight, len(g.queue)) {
	case decisionStopping:
		return nil, newRefusal(ReasonStopping)
	case decisionAdmit:
		g.inFlight++
		return nil, nil
	case decisionQueueFull:
		if !g.displaceBelow(priority) {
			return nil, newRefusal(ReasonQueue)
		}
	}
	g.sequence++
	added := &waiter{priority: priority, sequence: g.sequence, result: make(chan error, 1)}
	heap.Push(&g.queue, added)
	return added, nil
}

// displaceBelow removes the waiter that would be admitted last from the queue and refuses it,
// if its priority is lower than the given one. It returns whether it did. The mutex must be
// held.
func (g *Gate) displaceBelow(priority int) bool {
	last := -1
	for i, candidate := range g.queue {
		if candidate.priority < priority && (last < 0 || g.queue.Less(last, i)) {
			last = i
		}
	}
	if last < 0 {
		return false
	}
	displaced := heap.Remove(&g.queue, last).(*waiter)
	displaced.result <- newRefusal(ReasonShed)
	return true
}

// cancelWait removes a request whose context has ended from the queue and returns its refusal.
func (g *Gate) cancelWait(ctx context.Context, waiting *waiter) error {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if waiting.index >= 0 {
		heap.Remove(&g.queue, waiting.index)
	} else if err := <-waiting.result; err == nil {
		// The request was admitted in the meantime: its slot passes to the next waiter.
		g.inFlight--
		g.admitWaiting()
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return newRefusal(ReasonDeadline)
	}
	return newRefusal(ReasonStopping)
}

// Leave ends an admitted request and admits the next waiter.
func (g *Gate) Leave() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.inFlight--
	g.admitWaiting()
}

// Stop refuses all waiting requests and all later ones.
func (g *Gate) Stop() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.stopping = true
	for len(g.queue) > 0 {
		waiting := heap.Pop(&g.queue).(*waiter)
		waiting.result <- newRefusal(ReasonStopping)
	}
}

// admitWaiting admits waiters, highest priority first, up to MaxInFlight. The mutex must be
// held.
func (g *Gate) admitWaiting() {
	bounds := g.bounds.Load()
	for len(g.queue) > 0 && g.inFlight < bounds.MaxInFlight {
		waiting := heap.Pop(&g.queue).(*waiter)
		g.inFlight++
		waiting.result <- nil
	}
}
