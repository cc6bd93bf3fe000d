package watchcache

import (
	"github.com/pathtally/pathtally/internal/store/objectstore"
	"github.com/pathtally/pathtally/internal/store/objectwire"
)

// compressedUpdates keeps the last compressed snapshot and the last compressed changes,
// since many followers request the same ones. It is not safe for concurrent use.
type compressedUpdates struct {
	// listing holds all objects at revision listingAt; nil for none.
	listing   []byte
	listingAt uint64
	// changes holds the changes between two revisions; nil for none.
	changes     []byte
	changesFrom uint64
	changesTo   uint64
}

// listingSince returns a compressed snapshot at revision base or later, and its revision.
// It compresses the present objects if it has no such snapshot.
func (u *compressedUpdates) listingSince(base, current uint64, objects func() []objectstore.Object) (listing []byte, at uint64, err error) {
	if u.listing != nil && u.listingAt >= base {
		return u.listing, u.listingAt, nil
	}
	compressed, err := objectwire.Compress(objects())
	if err != nil {
		return nil, 0, err
	}
	u.listing, u.listingAt = compressed, current
	return u.listing, u.listingAt, nil
}

// changesBetween returns the compressed changes between two revisions.
func (u *compressedUpdates) changesBetween(from, to uint64, changes []objectstore.Change) ([]byte, error) {
	if u.changes != nil && u.changesFrom == from && u.changesTo == to {
		return u.changes, nil
	}
	compressed, err := objectwire.CompressChanges(changes)
	if err != nil {
		return nil, err
	}
	u.changes, u.changesFrom, u.changesTo = compressed, from, to
	return u.changes, nil
}
