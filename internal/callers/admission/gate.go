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

// Bounds are what a Gate enforces.
type Bounds struct {
	RequestsPerSecond float64
	Burst             int
	MaxInFlight       int
	MaxQueue          int
}

// retryAfterQueue is the advice to a request that found the queue full.
const retryAfterQueue = time.Second

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

// SetBounds changes the bounds; requests in flight stay.
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

// InFlight and Queued are for the metrics.
func (g *Gate) InFlight() int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.inFlight
}

// Queued is the number of requests waiting.
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

func (g *Gate) enterOrQueue(priority int) (*waiter, error) {
	bounds := g.bounds.Load()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.stopping {
		return nil, &RefusedError{Reason: ReasonStopping, RetryAfter: retryAfterQueue}
	}
	if g.inFlight < bounds.MaxInFlight && len(g.queue) == 0 {
		g.inFlight++
		return nil, nil
	}
	if len(g.queue) >= bounds.MaxQueue && !g.shedBelow(priority) {
		return nil, &RefusedError{Reason: ReasonQueue, RetryAfter: retryAfterQueue}
	}
	g.sequence++
	added := &waiter{priority: priority, sequence: g.sequence, answer: make(chan error, 1)}
	heap.Push(&g.queue, added)
	return added, nil
}

// shedBelow makes room by refusing the least urgent waiter, if it is less
// urgent than the newcomer.
func (g *Gate) shedBelow(priority int) bool {
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
	victim.answer <- &RefusedError{Reason: ReasonShed, RetryAfter: retryAfterQueue}
	return true
}

func (g *Gate) abandon(ctx context.Context, waiting *waiter) error {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if waiting.index >= 0 {
		heap.Remove(&g.queue, waiting.index)
	} else if err := <-waiting.answer; err == nil {
		// Admitted while giving up: hand the place on.
		g.inFlight--
		g.admitWaiting()
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return &RefusedError{Reason: ReasonDeadline, RetryAfter: retryAfterQueue}
	}
	return &RefusedError{Reason: ReasonStopping, RetryAfter: retryAfterQueue}
}

// Leave gives back the place of a request that entered.
func (g *Gate) Leave() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.inFlight--
	g.admitWaiting()
}

// Stop refuses whoever comes or waits from now on.
func (g *Gate) Stop() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.stopping = true
	for len(g.queue) > 0 {
		waiting := heap.Pop(&g.queue).(*waiter)
		waiting.answer <- &RefusedError{Reason: ReasonStopping, RetryAfter: retryAfterQueue}
	}
}

func (g *Gate) admitWaiting() {
	bounds := g.bounds.Load()
	for len(g.queue) > 0 && g.inFlight < bounds.MaxInFlight {
		waiting := heap.Pop(&g.queue).(*waiter)
		g.inFlight++
		waiting.answer <- nil
	}
}
