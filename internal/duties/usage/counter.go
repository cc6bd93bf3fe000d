package usage

import (
	"maps"
	"sync"
	"time"
)

// tally is what this process has counted in one window.
type tally struct {
	counts Counts
	// changed is the counter's version at the last change.
	changed uint64
}

// Counter counts the requests that this node sends to replicas. It is safe for
// use by many goroutines.
type Counter struct {
	clock  *Clock
	window time.Duration

	mutex   sync.Mutex
	tallies map[int64]*tally
	// version counts the requests.
	version uint64
	wake    chan struct{}
}

// NewCounter returns a counter for windows of a length.
func NewCounter(clock *Clock, window time.Duration) *Counter {
	return &Counter{clock: clock, window: window, tallies: map[int64]*tally{}, wake: make(chan struct{}, 1)}
}

// Began counts a request of a tenant's that began to run at an instant of the
// steady clock.
func (c *Counter) Began(tenant string, at time.Time) {
	if tenant == "" {
		return
	}
	number := c.numberAt(at)
	c.mutex.Lock()
	c.version++
	current := c.tallies[number]
	if current == nil {
		current = &tally{counts: Counts{}}
		c.tallies[number] = current
	}
	current.counts[tenant]++
	current.changed = c.version
	c.mutex.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// numberAt returns the number of the window that an instant lies in.
func (c *Counter) numberAt(at time.Time) int64 { return int64(c.clock.Unix(at) / c.window) }

// sinceEnd returns how long before an instant a window ended; negative while it lasts.
func (c *Counter) sinceEnd(number int64, at time.Time) time.Duration {
	return c.clock.Unix(at) - time.Duration(number+1)*c.window
}

// since returns copies of the windows changed after a version, and the version now.
func (c *Counter) since(version uint64) (windows map[int64]Counts, now uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	windows = map[int64]Counts{}
	for number, current := range c.tallies {
		if current.changed > version {
			windows[number] = maps.Clone(current.counts)
		}
	}
	return windows, c.version
}

// newest returns the version now.
func (c *Counter) newest() uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.version
}

// forget drops the windows before one.
func (c *Counter) forget(before int64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	maps.DeleteFunc(c.tallies, func(number int64, _ *tally) bool { return number < before })
}
