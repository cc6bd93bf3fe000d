package watchcache

import "github.com/pathtally/pathtally/internal/store/objectstore"

// Update is what a follower lacks of one kind.
type Update struct {
	// At is the revision of the copy after the update.
	At uint64
	// Whole reports that the changes are all objects.
	Whole bool
	// AfterOutage reports that entries may be missing because of an outage of the store.
	AfterOutage bool
	Changes     []objectstore.Change
	// Compressed holds the changes in place of Changes if they are many.
	Compressed []byte
}

// UpdateSince returns the update of a copy at a revision, and whether there is one. If the
// follower reads compressed updates, a large listing may be that of an earlier revision:
// the changes since then are in the history.
func (c *Cache) UpdateSince(revision uint64, compressed bool) (Update, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.listed || (revision >= c.revision && revision > 0) {
		return Update{}, false
	}
	if revision < c.base || revision == 0 {
		return c.wholeUpdate(compressed), true
	}
	return c.updateFromHistory(revision, compressed)
}

// wholeUpdate returns all objects. The mutex must be held.
func (c *Cache) wholeUpdate(compressed bool) Update {
	update := Update{At: c.revision, AfterOutage: c.afterOutage, Whole: true}
	if compressed && len(c.objects) >= largeListing && c.compressListing() {
		update.At, update.Compressed = c.compressed.listingAt, c.compressed.listing
		return update
	}
	for _, object := range c.sortedObjects() {
		update.Changes = append(update.Changes, objectstore.Change{Object: object})
	}
	return update
}

// updateFromHistory returns the changes after a revision. The mutex must be held.
func (c *Cache) updateFromHistory(revision uint64, compressed bool) (Update, bool) {
	update := Update{At: c.revision, AfterOutage: c.afterOutage}
	for _, entry := range c.history {
		if entry.revision > revision {
			update.Changes = append(update.Changes, entry.change)
		}
	}
	if compressed && len(update.Changes) >= manyChanges && c.compressChanges(revision, update.Changes) {
		update.Changes, update.Compressed = nil, c.compressed.changes
		return update, true
	}
	return update, len(update.Changes) > 0
}
