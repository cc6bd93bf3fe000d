package directory

import "github.com/pathtally/pathtally/internal/store/objectstore"

// takeAll calls take for each object.
func takeAll(objects []objectstore.Object, take func(objectstore.Object)) {
	for _, object := range objects {
		take(object)
	}
}

// takePresent calls take for each changed object that was not removed.
func takePresent(changes []objectstore.Change, take func(objectstore.Object)) {
	for _, change := range changes {
		if !change.Deleted {
			take(change.Object)
		}
	}
}
