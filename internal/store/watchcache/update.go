package watchcache

import "github.com/pathtally/pathtally/internal/store/objectstore"

// Update is what a follower misses of one kind.
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
