package environment

import (
	"time"

	"github.com/ansel1/merry/v2"
)

// Errors of the object API.
var (
	// ErrObjectNotFound means that no object has the name.
	ErrObjectNotFound = merry.Sentinel("object not found")
	// ErrObjectConflict means that a conditional write had no effect because
	// the object is at another version.
	ErrObjectConflict = merry.Sentinel("object is at another version")
	// ErrObjectsUnavailable means that no answer came: a write may or may
	// not have taken effect.
	ErrObjectsUnavailable = merry.Sentinel("object API unavailable")
	// ErrVersionTooOld means that a watch must start again from a read.
	ErrVersionTooOld = merry.Sentinel("watch version too old")
)

// Object is one stored object.
type Object struct {
	Name string
	// Version is the store's version at the last change of the object.
	Version uint64
	Data    []byte
}

// Objects is the platform's object API.
type Objects interface {
	Get(name string, done func(Object, error))
	// Put writes if the object is still at ifVersion; 0 means that it must
	// not exist yet.
	Put(name string, data []byte, ifVersion uint64, done func(Object, error))
	// Watch answers with those of the named objects that changed after a store
	// version, or with none when wait has passed. The number is the version to
	// go on from.
	Watch(names []string, from uint64, wait time.Duration, done func([]Object, uint64, error))
}
