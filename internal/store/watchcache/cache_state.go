package watchcache

import (
	"maps"
	"slices"

	"github.com/pathtally/pathtally/internal/store/objectstore"
)

const (
	// minHistory is how many changes are kept for followers. If there are more objects than
	// that, as many changes as objects are kept, so that a follower further behind gets a
	// snapshot that is no longer than the changes it missed.
	minHistory = 256
	// minLargeListing is the number of objects at which a snapshot is compressed for
	// followers, and at which an informer resumes its watch rather than list the kind
	// again. Smaller listings are one or two pages of the store.
	minLargeListing = 256
	// minCompressedChanges is the number of changes at which they are compressed.
	minCompressedChanges = 16
)

// cacheState is the contents of a cache: the objects of one kind and the latest changes. It
// is not safe for concurrent use.
type cacheState struct {
	listed  bool
	objects map[string]objectstore.Object
	// revision is the store revision of the objects.
	revision uint64
	// history holds the changes after revision historyBase, oldest first.
	historyBase uint64
	history     []historyEntry
	afterOutage bool
	compressed  compressedUpdates
}

// historyEntry is a change and the revision at which it was applied.
type historyEntry struct {
	revision uint64
	change   objectstore.Change
}

func newCacheState() cacheState { return cacheState{objects: map[string]objectstore.Object{}} }

// isLarge reports whether the objects are costly to list again.
func (c *cacheState) isLarge() bool { return c.listed && len(c.objects) >= minLargeListing }

// replace replaces the objects by a listing, unless the listing is older.
func (c *cacheState) replace(objects []objectstore.Object, revision uint64, afterOutage bool) bool {
	if c.listed && revision < c.revision {
		return false
	}
	c.objects = make(map[string]objectstore.Object, len(objects))
	for _, object := range objects {
		c.objects[object.Name] = object
	}
	if !c.listed || revision > c.revision {
		c.historyBase, c.history = revision, nil
	}
	c.compressed = compressedUpdates{}
	c.listed, c.revision, c.afterOutage = true, revision, afterOutage
	return true
}

// advance applies the changes between two revisions, if the objects are at the first of
// them.
func (c *cacheState) advance(from uint64, changes []objectstore.Change, to uint64, afterOutage bool) bool {
	if !c.listed || from != c.revision {
		return false
	}
	c.revision, c.afterOutage = max(c.revision, to), afterOutage
	for _, change := range changes {
		c.history = append(c.history, historyEntry{revision: c.revision, change: change})
		if change.Deleted {
			delete(c.objects, change.Object.Name)
		} else {
			c.objects[change.Object.Name] = change.Object
		}
	}
	c.trimHistory()
	return true
}

// trimHistory drops the oldest changes. It drops changes of the same revision together, so
// that no follower gets only some of them.
func (c *cacheState) trimHistory() {
	excess := len(c.history) - max(minHistory, len(c.objects))
	if excess <= 0 {
		return
	}
	c.historyBase = c.history[excess-1].revision
	c.history = slices.DeleteFunc(c.history, func(entry historyEntry) bool { return entry.revision <= c.historyBase })
}

// updateSince returns the update for a follower's cache at a revision, and whether there is
// one. An error means that the update could not be compressed and is returned uncompressed.
func (c *cacheState) updateSince(revision uint64, compressed bool) (update Update, found bool, err error) {
	if !c.listed || (revision >= c.revision && revision > 0) {
		return Update{}, false, nil
	}
	if revision < c.historyBase || revision == 0 {
		update, err = c.snapshotUpdate(compressed)
		return update, true, err
	}
	return c.historyUpdate(revision, compressed)
}

// snapshotUpdate returns a snapshot of all objects.
func (c *cacheState) snapshotUpdate(compressed bool) (Update, error) {
	update := Update{Revision: c.revision, AfterOutage: c.afterOutage, Snapshot: true}
	var err error
	if compressed && len(c.objects) >= minLargeListing {
		update.Compressed, update.Revision, err = c.compressed.snapshotSince(c.historyBase, c.revision, c.sortedObjects)
		if err == nil {
			return update, nil
		}
		update.Compressed, update.Revision = nil, c.revision
	}
	for _, object := range c.sortedObjects() {
		update.Changes = append(update.Changes, objectstore.Change{Object: object})
	}
	return update, err
}

// historyUpdate returns the changes after a revision.
func (c *cacheState) historyUpdate(revision uint64, compressed bool) (Update, bool, error) {
	update := Update{Revision: c.revision, AfterOutage: c.afterOutage}
	for _, entry := range c.history {
		if entry.revision > revision {
			update.Changes = append(update.Changes, entry.change)
		}
	}
	var err error
	if compressed && len(update.Changes) >= minCompressedChanges {
		update.Compressed, err = c.compressed.changesBetween(revision, c.revision, update.Changes)
		if err == nil {
			update.Changes = nil
			return update, true, nil
		}
	}
	return update, len(update.Changes) > 0, err
}

// sortedObjects returns all objects sorted by name.
func (c *cacheState) sortedObjects() []objectstore.Object {
	objects := make([]objectstore.Object, 0, len(c.objects))
	for _, name := range slices.Sorted(maps.Keys(c.objects)) {
		objects = append(objects, c.objects[name])
	}
	return objects
}
