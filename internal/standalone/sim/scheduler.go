package sim

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// epoch is the virtual time at which every run starts.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Scheduler is the virtual clock: it runs calls in the order of their time.
type Scheduler struct {
	now    time.Time
	queue  callHeap
	number uint64
	Random *rand.Rand
}

// NewScheduler returns a clock at its start.
func NewScheduler(seed uint64) *Scheduler {
	return &Scheduler{now: epoch, Random: rand.New(rand.NewPCG(seed, 0x5eed))}
}

// Now is the virtual time.
func (s *Scheduler) Now() time.Time { return s.now }

// Elapsed is the virtual time since the start.
func (s *Scheduler) Elapsed() time.Duration { return s.now.Sub(epoch) }

// After runs a call once the delay has passed.
func (s *Scheduler) After(delay time.Duration, call func()) *scheduledCall {
	s.number++
	added := &scheduledCall{at: s.now.Add(max(0, delay)), number: s.number, call: call}
	heap.Push(&s.queue, added)
	return added
}

// Run executes calls until the virtual time has advanced by a span.
func (s *Scheduler) Run(span time.Duration) {
	end := s.now.Add(span)
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		next := heap.Pop(&s.queue).(*scheduledCall)
		s.now = next.at
		if next.call != nil {
			next.call()
		}
	}
	s.now = end
}

// scheduledCall is a call at a time.
type scheduledCall struct {
	at     time.Time
	number uint64
	call   func()
}

// Stop implements environment.Timer.
func (c *scheduledCall) Stop() { c.call = nil }

// callHeap orders calls by time, then by number.
type callHeap []*scheduledCall

// Len implements heap.Interface.
func (h callHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h callHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].number < h[j].number
}

// Swap implements heap.Interface.
func (h callHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *callHeap) Push(item any) { *h = append(*h, item.(*scheduledCall)) }

// Pop implements heap.Interface.
func (h *callHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}
