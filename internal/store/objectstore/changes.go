package objectstore

// Change is one event of a watch.
type Change struct {
	// Object is the object after the change, or before its deletion.
	Object Object
	// Gone reports that the object was deleted.
	Gone bool
}

// Changes is the result of one watch call.
type Changes struct {
	// Events are the changes, oldest first; empty if there were none.
	Events []Change
	// At is the revision from which to continue watching.
	At uint64
}
