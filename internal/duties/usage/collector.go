package usage

import (
	"maps"
	"slices"
	"sync"

	"github.com/pathtally/pathtally/internal/wire"
)

// source identifies a process that has counted requests.
type source struct {
	node        string
	incarnation uint64
}

// collector holds the counts that all nodes have pushed, by window. It is safe for
// concurrent use.
type collector struct {
	mutex   sync.Mutex
	windows map[int64]map[source]Counts
}

func newCollector() *collector { return &collector{windows: map[int64]map[source]Counts{}} }

// add merges a push. Counts only increase, so the greatest one is the newest.
func (c *collector) add(push *wire.UsagePush) {
	from := source{node: push.Node, incarnation: push.Incarnation}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, window := range push.Windows {
		sources := c.windows[window.Number]
		if sources == nil {
			sources = map[source]Counts{}
			c.windows[window.Number] = sources
		}
		counts := sources[from]
		if counts == nil {
			counts = Counts{}
			sources[from] = counts
		}
		for _, reported := range window.Counts {
			counts[reported.Tenant] = max(counts[reported.Tenant], reported.Count)
		}
	}
}

// sum returns the total counts of a window, and the number of processes that have reported
// counts for it.
func (c *collector) sum(number int64) (total Counts, sources int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	total = Counts{}
	for _, counts := range c.windows[number] {
		for tenant, count := range counts {
			total[tenant] += count
		}
	}
	return total, len(c.windows[number])
}

// firstAfter returns the oldest window with counts that is newer than a given one.
func (c *collector) firstAfter(after int64) (number int64, known bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, number := range slices.Sorted(maps.Keys(c.windows)) {
		if number > after {
			return number, true
		}
	}
	return 0, false
}

// dropBefore drops the windows older than a given one.
func (c *collector) dropBefore(before int64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	maps.DeleteFunc(c.windows, func(number int64, _ map[source]Counts) bool { return number < before })
}
