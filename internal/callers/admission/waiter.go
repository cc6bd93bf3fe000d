package admission

// waiter is a request in the queue of a Gate.
type waiter struct {
	priority int
	// sequence is the order of arrival.
	sequence uint64
	// index is the waiter's position in the heap, -1 once it has been removed.
	index int
	// result receives nil on admission, or the refusal. It is buffered.
	result chan error
}

// waiterHeap orders waiters by descending priority, then by arrival.
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
