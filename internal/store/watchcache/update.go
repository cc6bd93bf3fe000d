package watchcache

import "github.com/pathtally/pathtally/internal/store/objectstore"

// Update is what a follower lacks of one kind.
type Update struct {
	// Revision is the revision of the cache after the update.
	Revision uint64
	// Snapshot reports that the changes are a snapshot of all objects.
	Snapshot bool
	// AfterOutage reports that entries may be missing because of an outage of the store.
	AfterOutage bool
	Changes     []objectstore.Change
	// Compressed holds the changes instead of Changes if there are many.
	Compressed []byte
}
