package workqueue

import "sync"

// Queue holds items in the order in which they were added. Any goroutine may
// add; one takes.
type Queue[Item any] struct {
	mutex  sync.Mutex
	items  []Item
	wake   chan struct{}
	closed bool
}

// New returns an empty queue.
func New[Item any]() *Queue[Item] {
	return &Queue[Item]{wake: make(chan struct{}, 1)}
}

// Add queues an item; it never blocks. Items added after Close are dropped.
func (q *Queue[Item]) Add(item Item) {
	q.mutex.Lock()
	if q.closed {
		q.mutex.Unlock()
		return
	}
	q.items = append(q.items, item)
	q.mutex.Unlock()
	q.signal()
}

// Len is the number of items that wait.
func (q *Queue[Item]) Len() int {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return len(q.items)
}

// Close refuses further items. Those added before are still handed out.
func (q *Queue[Item]) Close() {
	q.mutex.Lock()
	q.closed = true
	q.mutex.Unlock()
	q.signal()
}

// Take waits until something was added or the queue was closed, and returns
// all items that wait. Once open is false no more will come, and Take must not
// be called again.
func (q *Queue[Item]) Take() (items []Item, open bool) {
	<-q.wake
	q.mutex.Lock()
	defer q.mutex.Unlock()
	items, q.items = q.items, nil
	return items, !q.closed
}

func (q *Queue[Item]) signal() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}
