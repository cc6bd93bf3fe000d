package environment

import (
	"time"

	"github.com/ansel1/merry/v2"
)

// Errors of the object API.
var (
	// ErrObjectNotFound reports that no object has the name.
	ErrObjectNotFound = merry.Sentinel("object not found")
	// ErrObjectConflict reports that a conditional write failed because the object is at
	// another version.
	ErrObjectConflict = merry.Sentinel("object is at another version")
	// ErrObjectsUnavailable reports that no response arrived. A write may have taken effect.
	ErrObjectsUnavailable = merry.Sentinel("object API unavailable")
	// ErrVersionTooOld reports that a watch cannot resume from the version and must restart
	// from a read.
	ErrVersionTooOld = merry.Sentinel("watch version too old")
)

// Object is a stored object.
type Object struct {
	Name string
	// Version is the version of the store at the last change of the object.
	Version uint64
	Data    []byte
}

// Objects is a client of the platform's object API.
type Objects interface {
	// Get calls done with the named object.
	Get(name string, done func(Object, error))
	// Put writes an object if it is at version ifVersion; 0 means that it must not exist.
	Put(name string, data []byte, ifVersion uint64, done func(Object, error))
	// Watch calls done with the named objects that changed after store version from, or with
	// none after wait, and with the version from which the next watch continues.
	Watch(names []string, from uint64, wait time.Duration, done func([]Object, uint64, error))
}
