package directory

import (
	"maps"
	"time"

	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/clock"
)

const (
	// leftMemory is how long a replica that leaves is remembered after it was listed
	// last. Ids are never used again; no change older than that arrives.
	leftMemory = 10 * time.Minute
	// startsScanInterval is the time between scans for starts to forget: there may be
	// thousands, and keeping them costs little.
	startsScanInterval = time.Minute
)

// entryBook applies the entries of replicas to listings, by what it knows of earlier
// entries. The table's mutex guards it.
type entryBook struct {
	logger klog.Logger
	clock  clock.Clock
	// left gives the starts of replicas that have said they leave, each with when it was
	// listed last.
	left map[string]time.Time
	// starts are the newest starts known, by the names of replicas, and startsScannedAt
	// is when starts to forget were last looked for.
	starts          map[string]*start
	startsScannedAt time.Time
	// kept are the replicas used on although their entries have vanished.
	kept map[string]*time.Timer
	// onKeptEnd is called when a replica has been kept for its time, and onLateEntry when
	// a late entry may count after all. Both are called without the table's mutex.
	onKeptEnd   func(id string)
	onLateEntry func(known *start, late *Replica)
}

// start is the newest start known of the replicas of one name.
type start struct {
	id   string
	born int64
	// seen is when an entry of that start was read last.
	seen time.Time
	// lateEntry is an entry of an earlier start that was read since, nil for none.
	lateEntry *Replica
}

func newEntryBook(logger klog.Logger, counting clock.Clock) *entryBook {
	return &entryBook{logger: logger, clock: counting, left: map[string]time.Time{}, starts: map[string]*start{}, kept: map[string]*time.Timer{}}
}

// apply applies a change to a listing, and returns whether it was an entry that counts.
func (b *entryBook) apply(listing map[string]*Replica, change ReplicaChange, keepMissing time.Duration) bool {
	id := b.startOf(change.Name)
	current := listing[id]
	switch {
	case change.Replica != nil:
		return b.take(listing, change.Replica) != dispositionLate
	case change.Unreadable:
		// The replica may have moved or left since: nothing is known of it until it
		// writes again.
		delete(listing, id)
		b.stopKeeping(id)
	case current != nil:
		delete(listing, id)
		b.takeMissing(listing, current, keepMissing)
	}
	return false
}

// take takes a replica's entry into a listing, in place of an earlier start of the same
// name, unless it is late or the replica leaves.
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

// facts is what is known of a replica whose entry was read.
func (b *entryBook) facts(replica *Replica) entryFacts {
	known := entryFacts{state: replica.State, hasLeft: b.hasLeft(replica.ID)}
	if newest := b.starts[replica.InstanceName()]; newest != nil && replica.Born < newest.born {
		known.isEarlierStart = true
		known.sinceLaterStart = b.clock.Since(newest.seen)
	}
	return known
}

// recordStart records the start of a replica as the newest of its name. A former start
// leaves the listing.
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
	*known = start{id: replica.ID, born: replica.Born, seen: b.clock()}
}

// delay sets a late entry aside. It may count after all if no other follows.
func (b *entryBook) delay(late *Replica) {
	known := b.starts[late.InstanceName()]
	b.logger.Info("late word of an earlier start of a replica", "replica", known.id, "earlier", late.ID, "state", late.State)
	known.lateEntry = late
	time.AfterFunc(lateEntryPeriod, func() { b.onLateEntry(known, late) })
}

// admitLate returns whether a delayed entry is still the last one read of its name, and
// then lets it count: the store has had it for long, whatever its start time says.
func (b *entryBook) admitLate(known *start, late *Replica) bool {
	if b.starts[late.InstanceName()] != known || known.lateEntry != late {
		return false
	}
	known.seen = time.Time{}
	return true
}

// takeMissing keeps a replica without an entry in a listing for a while, or leaves it out.
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

// endKeeping ends the time that a replica was kept without an entry, and returns whether
// it still was.
func (b *entryBook) endKeeping(id string) bool {
	if b.kept[id] == nil {
		return false
	}
	delete(b.kept, id)
	return true
}

// stopKeeping ends that time early.
func (b *entryBook) stopKeeping(id string) {
	if timer := b.kept[id]; timer != nil {
		timer.Stop()
		delete(b.kept, id)
	}
}

// startOf returns the id of the newest start known of a name, or the name itself.
func (b *entryBook) startOf(name string) string {
	if known := b.starts[name]; known != nil {
		return known.id
	}
	return name
}

// hasLeft reports whether a replica has said that it leaves.
func (b *entryBook) hasLeft(id string) bool {
	_, known := b.left[id]
	return known
}

// isSuperseded reports whether an entry of a later start of the same name was read.
func (b *entryBook) isSuperseded(replica *Replica) bool {
	known := b.starts[replica.InstanceName()]
	return known != nil && known.id != replica.ID
}

// forget drops what is known of replicas that left long ago, given those listed.
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
