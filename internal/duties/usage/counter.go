package usage

import (
	"maps"
	"sync"
	"time"
)

// windowCounts holds this process's counts of one window.
type windowCounts struct {
	counts Counts
	// changedAt is the version of the counter at the last change.
	changedAt uint64
}

// Counter counts the requests that this node sends to replicas, by window and tenant. It is
// safe for concurrent use.
type Counter struct {
	clock  *Clock
	window time.Duration

	mutex   sync.Mutex
	windows map[int64]*windowCounts
	// version is incremented with each counted request.
	version uint64
	wake    chan struct{}
}

// NewCounter returns a Counter with the given length of windows.
func NewCounter(clock *Clock, window time.Duration) *Counter {
	return &Counter{clock: clock, window: window, windows: map[int64]*windowCounts{}, wake: make(chan struct{}, 1)}
}

// CountRequest counts a request of a tenant that began to run at a time of the monotonic
// clock. It ignores requests without a tenant.
func (c *Counter) CountRequest(tenant string, at time.Time) {
	if tenant == "" {
		return
	}
	number := c.windowAt(at)
	c.mutex.Lock()
	c.version++
	current := c.windows[number]
	if current == nil {
		current = &windowCounts{counts: Counts{}}
		c.windows[number] = current
	}
	current.counts[tenant]++
	current.changedAt = c.version
	c.mutex.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// windowAt returns the number of the window that contains a time.
func (c *Counter) windowAt(at time.Time) int64 { return int64(c.clock.Unix(at) / c.window) }

// sinceEnd returns the time from the end of a window to the given time, negative if the
// window ends later.
func (c *Counter) sinceEnd(number int64, at time.Time) time.Duration {
	return c.clock.Unix(at) - time.Duration(number+1)*c.window
}

// changedSince returns copies of the windows that have changed after a version, and the
// current version.
func (c *Counter) changedSince(version uint64) (windows map[int64]Counts, now uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	windows = map[int64]Counts{}
	for number, current := range c.windows {
		if current.changedAt > version {
			windows[number] = maps.Clone(current.counts)
		}
	}
	return windows, c.version
}

func (c *Counter) currentVersion() uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.version
}

// dropBefore drops the windows older than a given one.
func (c *Counter) dropBefore(before int64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	maps.DeleteFunc(c.windows, func(number int64, _ *windowCounts) bool { return number < before })
}
