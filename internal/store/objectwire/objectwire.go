// Package objectwire turns the metadata store's objects into messages between
// nodes and back.
package objectwire

import (
	"github.com/pathtally/pathtally/internal/store/objectstore"
	"github.com/pathtally/pathtally/internal/wire"
)

// Encode is an object as a message.
func Encode(object objectstore.Object) wire.ObjectChange {
	return wire.ObjectChange{Name: object.Name, Deleting: object.Deleting, Revision: object.Revision, Spec: object.Spec, Status: object.Status}
}

// Decode is the object of a message.
func Decode(encoded wire.ObjectChange) objectstore.Object {
	return objectstore.Object{
		Name: encoded.Name, Revision: encoded.Revision, Deleting: encoded.Deleting, Spec: encoded.Spec, Status: encoded.Status,
	}
}

// EncodeAll is a listing as messages.
func EncodeAll(objects []objectstore.Object) []wire.ObjectChange {
	encoded := make([]wire.ObjectChange, 0, len(objects))
	for _, object := range objects {
		encoded = append(encoded, Encode(object))
	}
	return encoded
}

// DecodeAll is the listing of messages.
func DecodeAll(encoded []wire.ObjectChange) []objectstore.Object {
	objects := make([]objectstore.Object, 0, len(encoded))
	for _, object := range encoded {
		objects = append(objects, Decode(object))
	}
	return objects
}

// EncodeChanges is a series of changes as messages.
func EncodeChanges(changes []objectstore.Change) []wire.ObjectChange {
	encoded := make([]wire.ObjectChange, 0, len(changes))
	for _, change := range changes {
		message := Encode(change.Object)
		message.Gone = change.Gone
		encoded = append(encoded, message)
	}
	return encoded
}

// DecodeChanges is the series of changes of messages.
func DecodeChanges(encoded []wire.ObjectChange) []objectstore.Change {
	changes := make([]objectstore.Change, 0, len(encoded))
	for _, change := range encoded {
		changes = append(changes, objectstore.Change{Gone: change.Gone, Object: Decode(change)})
	}
	return changes
}
