package directory

import (
	"errors"

	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/store/objectstore"
)

// maxUnreadable is the maximum number of remembered unreadable entries. If it is exceeded,
// all are forgotten and reported again.
const maxUnreadable = 1024

// ReasonMalformed is the reason for an entry that cannot be decoded.
const ReasonMalformed = "malformed"

// unreadableEntries reports and logs entries that do not describe a replica, once for each
// revision of an entry. It is guarded by the table's mutex.
type unreadableEntries struct {
	logger klog.Logger
	// revisions holds the revision of each unreadable entry when it was last read, by name.
	revisions map[string]uint64
	// report is called with the reason.
	report func(reason string)
}

// record reports an unreadable entry unless its revision was already reported.
func (u *unreadableEntries) record(object objectstore.Object, err error) {
	if known, recorded := u.revisions[object.Name]; recorded && known == object.Revision {
		return
	}
	u.revisions[object.Name] = object.Revision
	u.report(reasonOf(err))
	u.logger.Error(err, "invalid replica entry, replica is not used", "replica", object.Name, "revision", object.Revision)
}

// forget removes an entry that is readable again.
func (u *unreadableEntries) forget(name string) { delete(u.revisions, name) }

// trim removes all entries if there are more than maxUnreadable.
func (u *unreadableEntries) trim() {
	if len(u.revisions) > maxUnreadable {
		clear(u.revisions)
	}
}

// reasonOf returns why an entry is unreadable, as a metric label.
func reasonOf(err error) string {
	var coded interface{ Reason() string }
	if errors.As(err, &coded) {
		return coded.Reason()
	}
	return ReasonMalformed
}

// OnUnreadable sets a function that is called with the reason for each revision of an entry
// that does not describe a replica. It must be set before the first listing. The function
// must not block.
func (t *Table) OnUnreadable(report func(reason string)) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.unreadable.report = report
}

// recordUnreadable records an unreadable entry.
func (t *Table) recordUnreadable(object objectstore.Object, err error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.unreadable.record(object, err)
}
