package objectstore

import "encoding/json"

// Object is a stored object.
type Object struct {
	Name string
	// Revision is the store revision of the object's last change.
	Revision uint64
	Spec     json.RawMessage
	Status   json.RawMessage
	// Deleting reports that the object will be deleted once its finalizers are removed.
	Deleting bool
}
