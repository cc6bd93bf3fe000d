package environment

import (
	"time"

	"github.com/ansel1/merry/v2"
)

// Errors of the object API.
var (
	// ErrObjectNotFound reports that no object has the name.
	ErrObjectNotFound = merry.Sentinel("object not found")
	// ErrObjectConflict reports that a conditional write had no effect, since the object is
	// at another version.
	ErrObjectConflict = merry.Sentinel("object is at another version")
	// ErrObjectsUnavailable reports that no answer came. A write may have taken effect.
	ErrObjectsUnavailable = merry.Sentinel("object API unavailable")
	// ErrVersionTooOld reports that a watch must start again from a read.
	ErrVersionTooOld = merry.Sentinel("watch version too old")
)

// Object is a stored object.
type Object struct {
	Name string
	// Version is the store's version at the last change of the object.
	Version uint64
	Data    []byte
}

// Objects is the platform's object API.
type Objects interface {
	// Get calls done with the object of a name.
	Get(name string, done func(Object, error))
	// Put writes an object that is still at ifVersion; 0 if it must not exist yet.
	Put(name string, data []byte, ifVersion uint64, done func(Object, error))
	// Watch calls done with those of the named objects that changed after a store version,
	// or with none after wait, and with the version from which to watch on.
	Watch(names []string, from uint64, wait time.Duration, done func([]Object, uint64, error))
}
