package objectstore

import "encoding/json"

// Object is one stored object.
type Object struct {
	Name string
	// Revision is the store's revision at the last change of the object.
	Revision uint64
	Spec     json.RawMessage
	Status   json.RawMessage
	// Deleting means that the object goes once its finalizers are gone.
	Deleting bool
}

// Page is a part of a listing.
type Page struct {
	Objects []Object
	// More means that the listing goes on after the last name of this page.
	More bool
	// At is the store's revision of the listing.
	At uint64
}

// Change is one event of a watch.
type Change struct {
	Object Object
	// Gone means that the object was removed.
	Gone bool
}

// Changes are the events of one watch call.
type Changes struct {
	Events []Change
	// At is the revision to watch on from.
	At uint64
}
