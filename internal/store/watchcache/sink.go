package watchcache

import "github.com/pathtally/pathtally/internal/store/objectstore"

// Sink receives the objects of one kind, in the order of the store's revisions.
type Sink interface {
	// Replace receives a full listing. If afterOutage is set, entries may be missing
	// because of an outage of the store rather than because they were removed.
	Replace(objects []objectstore.Object, afterOutage bool)
	// Apply receives changes that arrived together, oldest first.
	Apply(changes []objectstore.Change, afterOutage bool)
}
