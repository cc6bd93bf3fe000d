package watchcache

import (
	"maps"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/store/objectstore"
)

// minHistory is how many changes of one kind a cache keeps for followers; it keeps as many
// as there are objects if they are more. A follower further behind gets a whole listing,
// which is then no longer than its changes.
const minHistory = 256

// Cache is the copy of one kind. It only moves forward: anything older than the copy is
// refused. It is safe for concurrent use.
type Cache struct {
	kind   string
	sink   Sink
	notify func()
	logger klog.Logger
	// wait is how long the store may hold a watch without events.
	wait time.Duration

	mutex   sync.Mutex
	listed  bool
	objects map[string]objectstore.Object
	// revision is the store's revision of the copy.
	revision uint64
	// history holds the changes after revision base, oldest first.
	base        uint64
	history     []historyEntry
	afterOutage bool
	compressed  compressedCopies
}

// historyEntry is a change and the revision of the copy that contains it.
type historyEntry struct {
	revision uint64
	change   objectstore.Change
}

// newCache returns an empty cache. Notify is called after each change, with the cache's
// mutex held.
func newCache(kind string, sink Sink, wait time.Duration, notify func()) *Cache {
	return &Cache{kind: kind, sink: sink, wait: wait, notify: notify, logger: klog.Background(), objects: map[string]objectstore.Object{}}
}

// Revision returns the store's revision of the copy, 0 before the first listing.
func (c *Cache) Revision() uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.revision
}

// Listed reports whether the kind has been listed at least once.
func (c *Cache) Listed() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.listed
}

// Replace replaces the copy by a listing. It reports false, and does nothing, if the
// listing is older than the copy.
func (c *Cache) Replace(objects []objectstore.Object, revision uint64, afterOutage bool) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.listed && revision < c.revision {
		return false
	}
	c.objects = make(map[string]objectstore.Object, len(objects))
	for _, object := range objects {
		c.objects[object.Name] = object
	}
	if !c.listed || revision > c.revision {
		c.base, c.history = revision, nil
	}
	c.compressed = compressedCopies{}
	c.listed, c.revision, c.afterOutage = true, revision, afterOutage
	c.sink.Replace(objects, afterOutage)
	c.notify()
	return true
}

// Advance applies the changes between two revisions. It reports false, and does nothing,
// if the copy is not at the first of them.
func (c *Cache) Advance(from uint64, changes []objectstore.Change, to uint64, afterOutage bool) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.listed || from != c.revision {
		return false
	}
	c.revision, c.afterOutage = max(c.revision, to), afterOutage
	for _, change := range changes {
		c.history = append(c.history, historyEntry{revision: c.revision, change: change})
		if change.Gone {
			delete(c.objects, change.Object.Name)
		} else {
			c.objects[change.Object.Name] = change.Object
		}
	}
	c.trimHistory()
	if len(changes) > 0 {
		c.sink.Apply(changes, afterOutage)
		c.notify()
	}
	return true
}

// trimHistory drops the oldest changes. Changes of the same revision are dropped together,
// so that no follower gets only some of them. The mutex must be held.
func (c *Cache) trimHistory() {
	surplus := len(c.history) - max(minHistory, len(c.objects))
	if surplus <= 0 {
		return
	}
	c.base = c.history[surplus-1].revision
	c.history = slices.DeleteFunc(c.history, func(entry historyEntry) bool { return entry.revision <= c.base })
}

// sortedObjects returns all objects by name. The mutex must be held.
func (c *Cache) sortedObjects() []objectstore.Object {
	objects := make([]objectstore.Object, 0, len(c.objects))
	for _, name := range slices.Sorted(maps.Keys(c.objects)) {
		objects = append(objects, c.objects[name])
	}
	return objects
}

// isLarge reports whether the copy is costly to list again.
func (c *Cache) isLarge() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.listed && len(c.objects) >= largeListing
}
