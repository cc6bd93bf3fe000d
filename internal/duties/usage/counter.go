package usage

import (
	"maps"
	"sync"
	"time"
)

// tally holds this process's counts of one window.
type tally struct {
	counts Counts
	// changed is the version of the counter at the last change.
	changed uint64
}

// Counter counts the requests that this node sends to replicas, by window and tenant. It is
// safe for concurrent use.
type Counter struct {
	clock  *Clock
	window time.Duration

	mutex   sync.Mutex
	tallies map[int64]*tally
	// version is incremented with each counted request.
	version uint64
	wake    chan struct{}
}

// NewCounter returns a Counter with the given length of windows.
func NewCounter(clock *Clock, window time.Duration) *Counter {
	return &Counter{clock: clock, window: window, tallies: map[int64]*tally{}, wake: make(chan struct{}, 1)}
}

// CountRequest counts a request of a tenant that began to run at a time of the monotonic clock.
func (c *Counter) CountRequest(tenant string, at time.Time) {
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

// numberAt returns the number of the window that contains a time.
func (c *Counter) numberAt(at time.Time) int64 { return int64(c.clock.Unix(at) / c.window) }

// sinceEnd returns the time from the end of a window to the given time, negative if the
// window ends later.
func (c *Counter) sinceEnd(number int64, at time.Time) time.Duration {
	return c.clock.Unix(at) - time.Duration(number+1)*c.window
}

// since returns copies of the windows that have changed after a version, and the current
// version.
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

// newest returns the current version.
func (c *Counter) newest() uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.version
}

// forget drops the windows older than a given one.
func (c *Counter) forget(before int64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	maps.DeleteFunc(c.tallies, func(number int64, _ *tally) bool { return number < before })
}
