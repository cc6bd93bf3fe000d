package watchcache

import "github.com/pathtally/pathtally/internal/store/objectstore"

// Sink takes what is learnt of one kind, in the store's order.
type Sink interface {
	// Replace takes a whole listing. After an outage of the store, entries may
	// be missing because of it and not because their owners are gone.
	Replace(objects []objectstore.Object, afterOutage bool)
	// Apply takes changes that came together, oldest first.
	Apply(changes []objectstore.Change, afterOutage bool)
}
