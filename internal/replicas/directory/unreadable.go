package directory

import (
	"errors"

	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/store/objectstore"
)

// maxUnreadable bounds the entries remembered as unreadable; beyond it all are forgotten,
// and reported again.
const maxUnreadable = 1024

// ReasonMalformed is why an entry names no replica whose bytes cannot be decoded.
const ReasonMalformed = "malformed"

// unreadableEntries counts and logs entries that name no replica, once for each change of
// one. The table's mutex guards it.
type unreadableEntries struct {
	logger klog.Logger
	// revisions are those of the entries when they were read last, by name.
	revisions map[string]uint64
	// report is called for each, with the reason.
	report func(reason string)
}

// record records an entry that cannot be read.
func (u *unreadableEntries) record(object objectstore.Object, err error) {
	if known, recorded := u.revisions[object.Name]; recorded && known == object.Revision {
		return
	}
	u.revisions[object.Name] = object.Revision
	u.report(reasonOf(err))
	u.logger.Error(err, "replica entry names no replica, none is used under its id", "replica", object.Name, "revision", object.Revision)
}

// forget drops an entry that can be read again.
func (u *unreadableEntries) forget(name string) { delete(u.revisions, name) }

// trim drops all where they have become many.
func (u *unreadableEntries) trim() {
	if len(u.revisions) > maxUnreadable {
		clear(u.revisions)
	}
}

// reasonOf is why an entry names no replica, in a word for metrics.
func reasonOf(err error) string {
	var coded interface{ Reason() string }
	if errors.As(err, &coded) {
		return coded.Reason()
	}
	return ReasonMalformed
}

// OnUnreadable sets a function that is called at each change of a replica's entry that
// names no replica, with the reason. It is set before the first listing and must not
// block.
func (t *Table) OnUnreadable(report func(reason string)) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.unreadable.report = report
}

// recordUnreadable records an entry that cannot be read.
func (t *Table) recordUnreadable(object objectstore.Object, err error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.unreadable.record(object, err)
}
