package watchcache

import "github.com/pathtally/pathtally/internal/store/objectstore"

// Sink receives the objects of one kind, in the store's order.
type Sink interface {
	// Replace receives a whole listing. After an outage of the store, entries may be
	// missing because of it, and not because they were removed.
	Replace(objects []objectstore.Object, afterOutage bool)
	// Apply receives changes that arrived together, oldest first.
	Apply(changes []objectstore.Change, afterOutage bool)
}
