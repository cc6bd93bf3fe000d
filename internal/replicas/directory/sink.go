package directory

import "github.com/pathtally/pathtally/internal/store/objectstore"

// forEach calls apply for each object.
func forEach(objects []objectstore.Object, apply func(objectstore.Object)) {
	for _, object := range objects {
		apply(object)
	}
}

// forEachPresent calls apply for each changed object that was not removed.
func forEachPresent(changes []objectstore.Change, apply func(objectstore.Object)) {
	for _, change := range changes {
		if !change.Deleted {
			apply(change.Object)
		}
	}
}
