package directory

import "github.com/pathtally/pathtally/internal/store/objectstore"

// takeAll hands every listed object on.
func takeAll(objects []objectstore.Object, take func(objectstore.Object)) {
	for _, object := range objects {
		take(object)
	}
}

// takePresent hands changed objects on, but no removed ones.
func takePresent(changes []objectstore.Change, take func(objectstore.Object)) {
	for _, change := range changes {
		if !change.Deleted {
			take(change.Object)
		}
	}
}
