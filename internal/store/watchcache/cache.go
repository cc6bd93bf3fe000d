package watchcache

import (
	"maps"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/store/objectstore"
	"github.com/pathtally/pathtally/internal/store/objectwire"
)

// historyLength is how many changes of one kind a cache keeps for followers at least, and
// it keeps as many as there are objects: whoever is further behind takes a whole listing,
// which is no longer than they are.
const historyLength = 256

// largeListing is from how many objects on a listing is worth keeping compressed, and
// worth resuming instead of reading anew: below, it is one or two pages of the store.
const largeListing = 256

// manyChanges is from how many changes on they are worth compressing for all followers
// that stand at the same revision.
const manyChanges = 16

// Cache is the copy of one kind. It only goes forward: whatever is older than
// the copy is refused. It is safe for use by many goroutines.
type Cache struct {
	kind   string
	sink   Sink
	notify func()
	logger klog.Logger
	// wait is how long the store holds a watch without events.
	wait time.Duration

	mutex   sync.Mutex
	listed  bool
	objects map[string]objectstore.Object
	// at is the store's revision of the copy.
	at uint64
	// history are the changes since base, oldest first.
	base        uint64
	history     []historyEntry
	afterOutage bool
	// compressed is the copy as it was at a revision, for followers that lack
	// everything; nil for none. It is made once for many of them.
	compressed   []byte
	compressedAt uint64
	// changes are the last compressed series of changes.
	changes compressedChanges
}

// compressedChanges are the changes between two revisions; nil bytes for none.
type compressedChanges struct {
	from, to uint64
	bytes    []byte
}

// historyEntry is a change and the revision of the copy with it.
type historyEntry struct {
	at     uint64
	change objectstore.Change
}

// newCache returns an empty cache. Notify is called after each change.
func newCache(kind string, sink Sink, wait time.Duration, notify func()) *Cache {
	return &Cache{kind: kind, sink: sink, wait: wait, notify: notify, logger: klog.Background(), objects: map[string]objectstore.Object{}}
}

// Revision is the store's revision of the copy, 0 before the first listing.
func (c *Cache) Revision() uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.at
}

// Listed tells whether there has been a first listing.
func (c *Cache) Listed() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.listed
}

// Replace takes a whole listing unless it is older than the copy.
func (c *Cache) Replace(objects []objectstore.Object, at uint64, afterOutage bool) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.listed && at < c.at {
		return false
	}
	c.objects = make(map[string]objectstore.Object, len(objects))
	for _, object := range objects {
		c.objects[object.Name] = object
	}
	if !c.listed || at > c.at {
		c.base, c.history = at, nil
	}
	c.compressed, c.changes = nil, compressedChanges{}
	c.listed, c.at, c.afterOutage = true, at, afterOutage
	c.sink.Replace(objects, afterOutage)
	c.notify()
	return true
}

// Advance takes the changes since a revision unless the copy is not at that
// revision any more.
func (c *Cache) Advance(from uint64, changes []objectstore.Change, at uint64, afterOutage bool) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.listed || from != c.at {
		return false
	}
	c.at, c.afterOutage = max(c.at, at), afterOutage
	for _, change := range changes {
		c.history = append(c.history, historyEntry{at: c.at, change: change})
		if change.Gone {
			delete(c.objects, change.Object.Name)
		} else {
			c.objects[change.Object.Name] = change.Object
		}
	}
	c.trim()
	if len(changes) > 0 {
		c.sink.Apply(changes, afterOutage)
		c.notify()
	}
	return true
}

// trim drops the oldest changes. All of one revision go together, so that no
// follower gets a part of them. The mutex must be held.
func (c *Cache) trim() {
	surplus := len(c.history) - max(historyLength, len(c.objects))
	if surplus <= 0 {
		return
	}
	c.base = c.history[surplus-1].at
	c.history = slices.DeleteFunc(c.history, func(entry historyEntry) bool { return entry.at <= c.base })
}

// News is what a follower lacks of one kind.
type News struct {
	At uint64
	// Whole tells that the changes are all objects.
	Whole       bool
	AfterOutage bool
	Changes     []objectstore.Change
	// Compressed holds the changes where they are many, in their place.
	Compressed []byte
}

// Since returns what has come since a revision, and whether there is any. Followers that
// can read it get a large listing compressed, as it was a little earlier: what came
// since is in the history.
func (c *Cache) Since(revision uint64, compressed bool) (News, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	news := News{At: c.at, AfterOutage: c.afterOutage}
	if !c.listed || (revision >= c.at && revision > 0) {
		return news, false
	}
	if revision < c.base || revision == 0 {
		news.Whole = true
		if compressed && len(c.objects) >= largeListing && c.compress() {
			news.At, news.Compressed = c.compressedAt, c.compressed
			return news, true
		}
		for _, name := range slices.Sorted(maps.Keys(c.objects)) {
			news.Changes = append(news.Changes, objectstore.Change{Object: c.objects[name]})
		}
		return news, true
	}
	for _, entry := range c.history {
		if entry.at > revision {
			news.Changes = append(news.Changes, entry.change)
		}
	}
	if compressed && len(news.Changes) >= manyChanges && c.compressChanges(revision, news.Changes) {
		news.Changes, news.Compressed = nil, c.changes.bytes
		return news, true
	}
	return news, len(news.Changes) > 0
}

// compressChanges has the changes since a revision compressed, and tells whether they are.
// The mutex must be held.
func (c *Cache) compressChanges(from uint64, changes []objectstore.Change) bool {
	if c.changes.bytes != nil && c.changes.from == from && c.changes.to == c.at {
		return true
	}
	compressed, err := objectwire.CompressChanges(changes)
	if err != nil {
		c.logger.Error(err, "changes are handed out as they are", "kind", c.kind, "changes", len(changes))
		return false
	}
	c.changes = compressedChanges{from: from, to: c.at, bytes: compressed}
	return true
}

// compress has the copy compressed at a revision from which the history goes on, and
// tells whether it is. The mutex must be held.
func (c *Cache) compress() bool {
	if c.compressed != nil && c.compressedAt >= c.base {
		return true
	}
	objects := make([]objectstore.Object, 0, len(c.objects))
	for _, name := range slices.Sorted(maps.Keys(c.objects)) {
		objects = append(objects, c.objects[name])
	}
	compressed, err := objectwire.Compress(objects)
	if err != nil {
		c.logger.Error(err, "listing is handed out as it is", "kind", c.kind, "objects", len(objects))
		return false
	}
	c.compressed, c.compressedAt = compressed, c.at
	return true
}

// isLarge tells whether the copy is one that is costly to read anew.
func (c *Cache) isLarge() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.listed && len(c.objects) >= largeListing
}
