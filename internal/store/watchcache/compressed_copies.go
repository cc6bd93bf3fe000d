package watchcache

import (
	"github.com/pathtally/pathtally/internal/store/objectstore"
	"github.com/pathtally/pathtally/internal/store/objectwire"
)

const (
	// largeListing is the number of objects from which on a listing is compressed for
	// followers, and a watch is resumed rather than the kind listed again. Below, a listing
	// is one or two pages of the store.
	largeListing = 256
	// manyChanges is the number of changes from which on they are compressed.
	manyChanges = 16
)

// compressedCopies are compressed updates that are made once for many followers.
type compressedCopies struct {
	// listing is the copy at revision listingAt; nil for none.
	listing   []byte
	listingAt uint64
	// changes are the changes between two revisions; nil for none.
	changes     []byte
	changesFrom uint64
	changesTo   uint64
}

// compressListing ensures that there is a compressed listing from which the history goes
// on, and reports whether there is. The mutex must be held.
func (c *Cache) compressListing() bool {
	if c.compressed.listing != nil && c.compressed.listingAt >= c.base {
		return true
	}
	objects := c.sortedObjects()
	compressed, err := objectwire.Compress(objects)
	if err != nil {
		c.logger.Error(err, "listing is sent uncompressed", "kind", c.kind, "objects", len(objects))
		return false
	}
	c.compressed.listing, c.compressed.listingAt = compressed, c.revision
	return true
}

// compressChanges ensures that the changes since a revision are compressed, and reports
// whether they are. The mutex must be held.
func (c *Cache) compressChanges(from uint64, changes []objectstore.Change) bool {
	if c.compressed.changes != nil && c.compressed.changesFrom == from && c.compressed.changesTo == c.revision {
		return true
	}
	compressed, err := objectwire.CompressChanges(changes)
	if err != nil {
		c.logger.Error(err, "changes are sent uncompressed", "kind", c.kind, "changes", len(changes))
		return false
	}
	c.compressed.changes = compressed
	c.compressed.changesFrom, c.compressed.changesTo = from, c.revision
	return true
}
