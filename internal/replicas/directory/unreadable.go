package directory

import (
	"errors"

	"github.com/pathtally/pathtally/internal/store/objectstore"
)

// maxUnreadable bounds the entries remembered as unreadable; beyond it all are forgotten,
// and reported again.
const maxUnreadable = 1024

// ReasonMalformed is why an entry names no replica whose bytes cannot be decoded.
const ReasonMalformed = "malformed"

// recordUnreadable counts and logs an entry that cannot be read, once for each change of it.
func (t *Table) recordUnreadable(object objectstore.Object, err error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if known, recorded := t.unreadable[object.Name]; recorded && known == object.Revision {
		return
	}
	t.unreadable[object.Name] = object.Revision
	t.onUnreadable(reasonOf(err))
	t.logger.Error(err, "replica entry names no replica, none is used under its id", "replica", object.Name, "revision", object.Revision)
}

// OnUnreadable sets a function that is called at each change of a replica's entry that
// names no replica, with the reason. It is set before the first listing and must not
// block.
func (t *Table) OnUnreadable(report func(reason string)) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.onUnreadable = report
}

// reasonOf is why an entry names no replica, in a word for metrics.
func reasonOf(err error) string {
	var coded interface{ Reason() string }
	if errors.As(err, &coded) {
		return coded.Reason()
	}
	return ReasonMalformed
}

// forgetUnreadable drops the memory of unreadable entries where it has grown long.
func (t *Table) forgetUnreadable() {
	if len(t.unreadable) > maxUnreadable {
		clear(t.unreadable)
	}
}
