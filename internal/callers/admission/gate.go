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

// Bounds are what a Gate enforces, in requests.
type Bounds struct {
	RequestsPerSecond float64
	Burst             int
	MaxInFlight       int
	MaxQueue          int
}

// Gate admits the requests of one traffic group on one node. It is safe for
// use by many goroutines.
type Gate struct {
	limiter  *rate.Limiter
	bounds   atomic.Pointer[Bounds]
	mutex    sync.Mutex
	inFlight int
	queue    waiterHeap
	sequence uint64
	stopping bool
}

// NewGate returns an open gate.
func NewGate(bounds Bounds) *Gate {
	gate := &Gate{limiter: rate.NewLimiter(rate.Limit(bounds.RequestsPerSecond), bounds.Burst)}
	gate.bounds.Store(&bounds)
	return gate
}

// SetBounds changes the bounds. Requests in flight go on.
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

// Queued returns the number of requests waiting.
func (g *Gate) Queued() int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return len(g.queue)
}

// Enter admits a request or refuses it with a *RefusedError. Whoever entered
// must call Leave once. It waits only while there is room in the queue and
// time before the deadline of the context.
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
	case err := <-waiting.answer:
		return err
	case <-ctx.Done():
		return g.abandon(ctx, waiting)
	}
}

// enterOrQueue admits a request (nil, nil), queues it, or refuses it.
func (g *Gate) enterOrQueue(priority int) (*waiter, error) {
	bounds := g.bounds.Load()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	switch decideEntry(bounds, g.stopping, g.inFlight, len(g.queue)) {
	case entryStopping:
		return nil, newRefusal(ReasonStopping)
	case entryAdmitted:
		g.inFlight++
		return nil, nil
	case entryQueueFull:
		if !g.displaceBelow(priority) {
			return nil, newRefusal(ReasonQueue)
		}
	}
	g.sequence++
	added := &waiter{priority: priority, sequence: g.sequence, answer: make(chan error, 1)}
	heap.Push(&g.queue, added)
	return added, nil
}

// displaceBelow makes room in the queue by refusing the least urgent waiter, if its priority
// is lower than the given one. The mutex must be held.
func (g *Gate) displaceBelow(priority int) bool {
	least := -1
	for i, candidate := range g.queue {
		if candidate.priority < priority && (least < 0 || g.queue.Less(least, i)) {
			least = i
		}
	}
	if least < 0 {
		return false
	}
	victim := heap.Remove(&g.queue, least).(*waiter)
	victim.answer <- newRefusal(ReasonShed)
	return true
}

// abandon ends the wait of a request whose context has ended.
func (g *Gate) abandon(ctx context.Context, waiting *waiter) error {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if waiting.index >= 0 {
		heap.Remove(&g.queue, waiting.index)
	} else if err := <-waiting.answer; err == nil {
		// It was admitted meanwhile and gives its place to the next.
		g.inFlight--
		g.admitWaiting()
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return newRefusal(ReasonDeadline)
	}
	return newRefusal(ReasonStopping)
}

// Leave gives back the place of a request that entered.
func (g *Gate) Leave() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.inFlight--
	g.admitWaiting()
}

// Stop refuses all that wait, and all that come from now on.
func (g *Gate) Stop() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.stopping = true
	for len(g.queue) > 0 {
		waiting := heap.Pop(&g.queue).(*waiter)
		waiting.answer <- newRefusal(ReasonStopping)
	}
}

// admitWaiting admits waiters, the most urgent first, while there is room. The mutex must
// be held.
func (g *Gate) admitWaiting() {
	bounds := g.bounds.Load()
	for len(g.queue) > 0 && g.inFlight < bounds.MaxInFlight {
		waiting := heap.Pop(&g.queue).(*waiter)
		g.inFlight++
		waiting.answer <- nil
	}
}
