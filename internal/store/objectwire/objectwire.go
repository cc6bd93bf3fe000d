package objectwire

import (
	"github.com/pathtally/pathtally/internal/store/objectstore"
	"github.com/pathtally/pathtally/internal/wire"
)

// Encode returns the wire form of an object.
func Encode(object objectstore.Object) wire.ObjectChange {
	return wire.ObjectChange{Name: object.Name, Deleting: object.Deleting, Revision: object.Revision, Spec: object.Spec, Status: object.Status}
}

// Decode returns the object of a wire form.
func Decode(encoded wire.ObjectChange) objectstore.Object {
	return objectstore.Object{
		Name: encoded.Name, Revision: encoded.Revision, Deleting: encoded.Deleting, Spec: encoded.Spec, Status: encoded.Status,
	}
}

// EncodeAll returns the wire form of a listing.
func EncodeAll(objects []objectstore.Object) []wire.ObjectChange {
	encoded := make([]wire.ObjectChange, 0, len(objects))
	for _, object := range objects {
		encoded = append(encoded, Encode(object))
	}
	return encoded
}

// DecodeAll returns the listing of a wire form.
func DecodeAll(encoded []wire.ObjectChange) []objectstore.Object {
	objects := make([]objectstore.Object, 0, len(encoded))
	for _, object := range encoded {
		objects = append(objects, Decode(object))
	}
	return objects
}

// EncodeChanges returns the wire form of changes.
func EncodeChanges(changes []objectstore.Change) []wire.ObjectChange {
	encoded := make([]wire.ObjectChange, 0, len(changes))
	for _, change := range changes {
		message := Encode(change.Object)
		message.Gone = change.Deleted
		encoded = append(encoded, message)
	}
	return encoded
}

// DecodeChanges returns the changes of a wire form.
func DecodeChanges(encoded []wire.ObjectChange) []objectstore.Change {
	changes := make([]objectstore.Change, 0, len(encoded))
	for _, change := range encoded {
		changes = append(changes, objectstore.Change{Deleted: change.Gone, Object: Decode(change)})
	}
	return changes
}
