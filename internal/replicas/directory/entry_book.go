package directory

import (
	"maps"
	"time"

	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/clock"
)

const (
	// leftMemory is how long a draining replica is remembered after its last entry. It must
	// be longer than the maximum delay of a change. IDs are never reused.
	leftMemory = 10 * time.Minute
	// startsScanInterval is the time between scans for expired incarnations. Scans are rare
	// because there may be thousands of incarnations.
	startsScanInterval = time.Minute
)

// entryBook applies replica entries to listings, based on the earlier entries. It is guarded
// by the table's mutex.
type entryBook struct {
	logger klog.Logger
	clock  clock.Clock
	// left holds the time of the last entry of each draining replica, by id.
	left map[string]time.Time
	// starts holds the latest known incarnation by replica name.
	starts map[string]*start
	// startsScannedAt is the time of the last scan for expired incarnations.
	startsScannedAt time.Time
	// kept holds the replicas that are kept without an entry, by id, with the timer
	// that ends it.
	kept map[string]*time.Timer
	// onKeptEnd is called when the keep time of a replica ends. It is called without the
	// table's mutex.
	onKeptEnd func(id string)
	// onLateEntry is called when a stale entry may be applied after all. It is called
	// without the table's mutex.
	onLateEntry func(known *start, late *Replica)
}

// start is the latest known incarnation of the replica with one name.
type start struct {
	id   string
	born int64
	// seen is when the most recent entry of this incarnation was read.
	seen time.Time
	// lateEntry is an entry of an earlier incarnation that was read since, or nil.
	lateEntry *Replica
}

func newEntryBook(logger klog.Logger, counting clock.Clock) *entryBook {
	return &entryBook{logger: logger, clock: counting, left: map[string]time.Time{}, starts: map[string]*start{}, kept: map[string]*time.Timer{}}
}

// apply applies a change to a listing. It reports whether the change is an entry that is not
// stale.
func (b *entryBook) apply(listing map[string]*Replica, change ReplicaChange, keepMissing time.Duration) bool {
	id := b.startOf(change.Name)
	current := listing[id]
	switch {
	case change.Replica != nil:
		return b.take(listing, change.Replica) != dispositionLate
	case change.Unreadable:
		// The replica may have moved or drained since, so it is not used until its next
		// entry.
		delete(listing, id)
		b.stopKeeping(id)
	case current != nil:
		delete(listing, id)
		b.takeMissing(listing, current, keepMissing)
	}
	return false
}

// take adds a replica to a listing, replacing an earlier incarnation of the same name, unless
// the entry is stale or the replica is draining.
func (b *entryBook) take(listing map[string]*Replica, replica *Replica) disposition {
	known := b.facts(replica)
	outcome := disposeEntry(known)
	if outcome == dispositionLate {
		b.delay(replica)
		return outcome
	}
	b.recordStart(listing, replica)
	b.stopKeeping(replica.ID)
	if outcome == dispositionUse {
		listing[replica.ID] = replica
		return outcome
	}
	if !known.hasLeft {
		b.logger.Info("replica draining", "replica", replica.ID, "state", replica.State)
	}
	b.left[replica.ID] = time.Now()
	delete(listing, replica.ID)
	return outcome
}

// facts returns the facts that decide what happens to a replica whose entry was read.
func (b *entryBook) facts(replica *Replica) entryFacts {
	known := entryFacts{state: replica.State, hasLeft: b.hasLeft(replica.ID)}
	if newest := b.starts[replica.InstanceName()]; newest != nil && replica.StartedMs < newest.born {
		known.isEarlierStart = true
		known.sinceLaterStart = b.clock.Since(newest.seen)
	}
	return known
}

// recordStart records a replica as the latest incarnation of its name and removes the
// previous incarnation from the listing.
func (b *entryBook) recordStart(listing map[string]*Replica, replica *Replica) {
	name := replica.InstanceName()
	known := b.starts[name]
	if known == nil {
		known = &start{}
		b.starts[name] = known
	} else if known.id != replica.ID {
		b.logger.Info("replica started again", "replica", replica.ID, "before", known.id)
		b.stopKeeping(known.id)
		delete(listing, known.id)
	}
	*known = start{id: replica.ID, born: replica.StartedMs, seen: b.clock()}
}

// delay defers a stale entry. It is applied after lateEntryPeriod unless another entry
// follows.
func (b *entryBook) delay(late *Replica) {
	known := b.starts[late.InstanceName()]
	b.logger.Info("late word of an earlier start of a replica", "replica", known.id, "earlier", late.ID, "state", late.State)
	known.lateEntry = late
	time.AfterFunc(lateEntryPeriod, func() { b.onLateEntry(known, late) })
}

// admitLate reports whether a deferred entry is still the last entry read for its name, and
// in that case makes the next read accept it: the store has held it for long enough to be
// current, whatever its start time.
func (b *entryBook) admitLate(known *start, late *Replica) bool {
	if b.starts[late.InstanceName()] != known || known.lateEntry != late {
		return false
	}
	known.seen = time.Time{}
	return true
}

// takeMissing keeps a replica without an entry in a listing for up to keepFor, or omits it.
func (b *entryBook) takeMissing(listing map[string]*Replica, replica *Replica, keepFor time.Duration) {
	id := replica.ID
	known := missingFacts{hasLeft: b.hasLeft(id), isSuperseded: b.isSuperseded(replica), isKept: b.kept[id] != nil, keepFor: keepFor}
	if known.hasLeft || known.isSuperseded {
		return
	}
	if !known.isKept {
		b.logger.Info("replica entry vanished", "replica", id, "keptMs", keepFor.Milliseconds())
	}
	if disposeMissing(known) == dispositionDrop {
		return
	}
	listing[id] = replica
	if !known.isKept {
		b.kept[id] = time.AfterFunc(keepFor, func() { b.onKeptEnd(id) })
	}
}

// endKeeping ends the keep time of a replica without an entry. It reports whether the replica
// was still kept.
func (b *entryBook) endKeeping(id string) bool {
	if b.kept[id] == nil {
		return false
	}
	delete(b.kept, id)
	return true
}

// stopKeeping cancels the keep time of a replica without an entry.
func (b *entryBook) stopKeeping(id string) {
	if timer := b.kept[id]; timer != nil {
		timer.Stop()
		delete(b.kept, id)
	}
}

// startOf returns the id of the latest known incarnation of a name, or the name itself if
// none is known.
func (b *entryBook) startOf(name string) string {
	if known := b.starts[name]; known != nil {
		return known.id
	}
	return name
}

// hasLeft reports whether an entry of the replica said that it drains.
func (b *entryBook) hasLeft(id string) bool {
	_, known := b.left[id]
	return known
}

// isSuperseded reports whether another incarnation of the same name is the latest.
func (b *entryBook) isSuperseded(replica *Replica) bool {
	known := b.starts[replica.InstanceName()]
	return known != nil && known.id != replica.ID
}

// forget removes expired draining replicas and incarnations. Incarnations that are listed do
// not expire.
func (b *entryBook) forget(listed map[string]*Replica) {
	maps.DeleteFunc(b.left, func(_ string, at time.Time) bool { return time.Since(at) > leftMemory })
	if b.clock.Since(b.startsScannedAt) < startsScanInterval {
		return
	}
	b.startsScannedAt = b.clock()
	maps.DeleteFunc(b.starts, func(_ string, known *start) bool {
		return listed[known.id] == nil && b.clock.Since(known.seen) > leftMemory
	})
}
