package directory

import (
	"errors"

	"github.com/pathtally/pathtally/internal/store/objectstore"
)

// mostUnreadable bounds the entries remembered as unreadable; beyond it all are told anew.
const mostUnreadable = 1024

// noteUnreadable counts and logs an entry that cannot be read, once for each change of it.
func (t *Table) noteUnreadable(object objectstore.Object, err error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if known, noted := t.unreadable[object.Name]; noted && known == object.Revision {
		return
	}
	t.unreadable[object.Name] = object.Revision
	t.onUnreadable(reasonOf(err))
	t.logger.Error(err, "replica entry names no replica, none is used under its id", "replica", object.Name, "revision", object.Revision)
}

// OnUnreadable has a function told of each change of a replica's entry that names no
// replica, with the reason. It is called before the first listing and must not block.
func (t *Table) OnUnreadable(tell func(reason string)) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.onUnreadable = tell
}

// ReasonMalformed is why an entry names no replica whose bytes cannot be decoded.
const ReasonMalformed = "malformed"

// reasonOf is why an entry names no replica, in a word for metrics.
func reasonOf(err error) string {
	var told interface{ Reason() string }
	if errors.As(err, &told) {
		return told.Reason()
	}
	return ReasonMalformed
}

// forgetUnreadable drops the memory of unreadable entries where it has grown long.
func (t *Table) forgetUnreadable() {
	if len(t.unreadable) > mostUnreadable {
		clear(t.unreadable)
	}
}
