package watchcache

import (
	"github.com/pathtally/pathtally/internal/store/objectstore"
	"github.com/pathtally/pathtally/internal/store/objectwire"
)

// compressedUpdates keeps the last compressed snapshot and the last compressed changes,
// since many followers request the same ones. It is not safe for concurrent use.
type compressedUpdates struct {
	// snapshot holds all objects at revision snapshotRevision; nil for none.
	snapshot         []byte
	snapshotRevision uint64
	// changes holds the changes between two revisions; nil for none.
	changes     []byte
	changesFrom uint64
	changesTo   uint64
}

// snapshotSince returns a compressed snapshot at revision base or later, and its revision.
// It compresses the current objects if it has no such snapshot.
func (u *compressedUpdates) snapshotSince(base, current uint64, objects func() []objectstore.Object) (snapshot []byte, revision uint64, err error) {
	if u.snapshot != nil && u.snapshotRevision >= base {
		return u.snapshot, u.snapshotRevision, nil
	}
	compressed, err := objectwire.Compress(objects())
	if err != nil {
		return nil, 0, err
	}
	u.snapshot, u.snapshotRevision = compressed, current
	return u.snapshot, u.snapshotRevision, nil
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
