package admission

// waiter is a request in the queue of a Gate.
type waiter struct {
	priority int
	sequence uint64
	index    int
	answer   chan error
}

// waiterHeap orders waiters by priority, then by arrival.
type waiterHeap []*waiter

// Len implements heap.Interface.
func (h waiterHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h waiterHeap) Less(i, j int) bool {
	if h[i].priority != h[j].priority {
		return h[i].priority > h[j].priority
	}
	return h[i].sequence < h[j].sequence
}

// Swap implements heap.Interface.
func (h waiterHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *waiterHeap) Push(item any) {
	added := item.(*waiter)
	added.index = len(*h)
	*h = append(*h, added)
}

// Pop implements heap.Interface.
func (h *waiterHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	last.index = -1
	*h = old[:len(old)-1]
	return last
}
