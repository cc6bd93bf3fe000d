package watchcache

import "sync"

// changeSignal wakes all goroutines that wait for the next change. It is safe for
// concurrent use.
type changeSignal struct {
	mutex   sync.Mutex
	changed chan struct{}
}

func newChangeSignal() *changeSignal { return &changeSignal{changed: make(chan struct{})} }

// next returns a channel that is closed at the next change.
func (c *changeSignal) next() <-chan struct{} {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.changed
}

// broadcast wakes all waiting goroutines.
func (c *changeSignal) broadcast() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	close(c.changed)
	c.changed = make(chan struct{})
}
