package storerelay

import (
	"sync"
	"time"
)

const (
	// largeCall is from how many bytes of content on a call goes through another node
	// than the one that is followed. That one answers the polls of its followers and
	// carries their small calls; the results of a few batch jobs fill a small node's
	// link for seconds.
	largeCall = 64 << 10
	// avoidTime is for how long a node that did not carry a call is passed over: the
	// store turns nodes away for some seconds.
	avoidTime = 3 * time.Second
	// helpersTried bounds the nodes that one call is offered to: each that refuses it
	// says so within a few milliseconds.
	helpersTried = 3
	// answeredMemory is for how long a node that has just been answered is taken to be,
	// and questionTime bounds the question to one that is not known to be: it is the
	// way to it and to the store, several times over.
	answeredMemory = 2 * time.Second
	questionTime   = 200 * time.Millisecond
)

// helpers remembers which nodes carry calls and which did not. It is safe for use by
// many goroutines.
type helpers struct {
	mutex sync.Mutex
	// avoided and answered give until when a node is passed over, or taken to be
	// answered by the store.
	avoided  map[string]time.Time
	answered map[string]time.Time
}

// avoid passes a node over for a while.
func (h *helpers) avoid(address string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.avoided == nil {
		h.avoided = map[string]time.Time{}
	}
	h.avoided[address] = time.Now().Add(avoidTime)
	delete(h.answered, address)
}

// note records that the store has answered a node.
func (h *helpers) note(address string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.answered == nil {
		h.answered = map[string]time.Time{}
	}
	h.answered[address] = time.Now().Add(answeredMemory)
}

// isAnswered tells whether the store has answered a node of late.
func (h *helpers) isAnswered(address string) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return time.Now().Before(h.answered[address])
}

// isAvoided tells whether a node is passed over.
func (h *helpers) isAvoided(address string) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return time.Now().Before(h.avoided[address])
}
