package watchcache

import (
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/store/objectstore"
)

// Cache holds the objects of one kind and passes changes to its sink. Its revision never
// decreases: older listings and changes are rejected. It is safe for concurrent use.
type Cache struct {
	kind   string
	sink   Sink
	notify func()
	logger klog.Logger
	// watchTimeout is how long the store may hold a watch without events.
	watchTimeout time.Duration

	mutex sync.Mutex
	// copy holds the objects and their recent history.
	copy cacheState
}

// newCache returns an empty cache. Notify is called after each change, with the cache's
// mutex locked.
func newCache(kind string, sink Sink, watchTimeout time.Duration, notify func()) *Cache {
	return &Cache{kind: kind, sink: sink, watchTimeout: watchTimeout, notify: notify, logger: klog.Background(), copy: newCacheState()}
}

// Revision returns the store revision of the cache, 0 before the first listing.
func (c *Cache) Revision() uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.copy.revision
}

// Listed reports whether the kind has been listed at least once.
func (c *Cache) Listed() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.copy.listed
}

// isLarge reports whether the cache is costly to list again.
func (c *Cache) isLarge() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.copy.isLarge()
}

// Replace replaces the contents by a listing. It returns false, and changes nothing, if the
// listing is older than the cache.
func (c *Cache) Replace(objects []objectstore.Object, revision uint64, afterOutage bool) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.copy.replace(objects, revision, afterOutage) {
		return false
	}
	c.sink.Replace(objects, afterOutage)
	c.notify()
	return true
}

// Advance applies the changes between two revisions. It returns false, and changes nothing,
// if the cache is not at the first of them.
func (c *Cache) Advance(from uint64, changes []objectstore.Change, to uint64, afterOutage bool) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.copy.advance(from, changes, to, afterOutage) {
		return false
	}
	if len(changes) > 0 {
		c.sink.Apply(changes, afterOutage)
		c.notify()
	}
	return true
}

// UpdateSince returns the update for a follower's cache at a revision, and whether there is
// one. If the follower reads compressed updates, a large snapshot may be of an earlier
// revision, from which the history leads to the current one.
func (c *Cache) UpdateSince(revision uint64, compressed bool) (Update, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	update, found, err := c.copy.updateSince(revision, compressed)
	switch {
	case err != nil && update.Snapshot:
		c.logger.Error(err, "failed to compress snapshot, sending it uncompressed", "kind", c.kind, "objects", len(update.Changes))
	case err != nil:
		c.logger.Error(err, "failed to compress changes, sending them uncompressed", "kind", c.kind, "changes", len(update.Changes))
	}
	return update, found
}
