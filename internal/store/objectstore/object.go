package objectstore

import "encoding/json"

// Object is a stored object.
type Object struct {
	Name string
	// Revision is the store's revision at the last change of the object.
	Revision uint64
	Spec     json.RawMessage
	Status   json.RawMessage
	// Deleting reports that the object is removed once its finalizers are gone.
	Deleting bool
}
