package objectstore

// Change is one event of a watch.
type Change struct {
	// Object is the object after the change, or before its removal.
	Object Object
	// Gone reports that the object was removed.
	Gone bool
}

// Changes are the events of one watch call.
type Changes struct {
	// Events are the changes, oldest first; empty if there were none.
	Events []Change
	// At is the revision from which to watch on.
	At uint64
}
