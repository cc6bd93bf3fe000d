package objectstore

// Change is one event of a watch.
type Change struct {
	// Object is the object after the change, or before its deletion.
	Object Object
	// Deleted reports that the object was deleted.
	Deleted bool
}

// Changes is the result of one watch call.
type Changes struct {
	// Events are the changes, oldest first; empty if there were none.
	Events []Change
	// Revision is the revision from which to continue watching.
	Revision uint64
}
