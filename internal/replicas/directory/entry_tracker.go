package directory

import (
	"maps"
	"time"

	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/clock"
)

const (
	// drainingRetention is how long a draining replica is remembered after its last entry. It must
	// be longer than the maximum delay of a change. IDs are never reused.
	drainingRetention = 10 * time.Minute
	// incarnationScanInterval is the time between scans for expired incarnations. Scans are rare
	// because there may be thousands of incarnations.
	incarnationScanInterval = time.Minute
)

// entryTracker applies replica entries to listings, based on the earlier entries. It is guarded
// by the table's mutex.
type entryTracker struct {
	logger klog.Logger
	clock  clock.Clock
	// draining holds the time of the last entry of each draining replica, by id.
	draining map[string]time.Time
	// incarnations holds the latest known incarnation by replica name.
	incarnations map[string]*incarnation
	// scannedAt is the time of the last scan for expired incarnations.
	scannedAt time.Time
	// kept holds the replicas that are kept without an entry, by id, with the timer
	// that ends it.
	kept map[string]*time.Timer
	// onKeepExpired is called when the keep time of a replica ends. It is called without the
	// table's mutex.
	onKeepExpired func(id string)
	// onStaleEntry is called when a stale entry may be applied after all. It is called
	// without the table's mutex.
	onStaleEntry func(known *incarnation, late *Replica)
}

// incarnation is the latest known incarnation of the replica with one name.
type incarnation struct {
	id        string
	startedMs int64
	// seen is when the most recent entry of this incarnation was read.
	seen time.Time
	// staleEntry is an entry of an earlier incarnation that was read since, or nil.
	staleEntry *Replica
}

func newEntryTracker(logger klog.Logger, counting clock.Clock) *entryTracker {
	return &entryTracker{logger: logger, clock: counting, draining: map[string]time.Time{}, incarnations: map[string]*incarnation{}, kept: map[string]*time.Timer{}}
}

// apply applies a change to a listing. It reports whether the change is an entry that is not
// stale.
func (b *entryTracker) apply(listing map[string]*Replica, change ReplicaChange, keepMissing time.Duration) bool {
	id := b.latestID(change.Name)
	current := listing[id]
	switch {
	case change.Replica != nil:
		return b.applyEntry(listing, change.Replica) != dispositionStale
	case change.Unreadable:
		// The replica may have moved or drained since, so it is not used until its next
		// entry.
		delete(listing, id)
		b.stopKeepTimer(id)
	case current != nil:
		delete(listing, id)
		b.applyMissing(listing, current, keepMissing)
	}
	return false
}

// applyEntry adds a replica to a listing, replacing an earlier incarnation of the same name, unless
// the entry is stale or the replica is draining.
func (b *entryTracker) applyEntry(listing map[string]*Replica, replica *Replica) disposition {
	known := b.factsOf(replica)
	outcome := disposeEntry(known)
	if outcome == dispositionStale {
		b.deferStale(replica)
		return outcome
	}
	b.recordIncarnation(listing, replica)
	b.stopKeepTimer(replica.ID)
	if outcome == dispositionUse {
		listing[replica.ID] = replica
		return outcome
	}
	if !known.wasDraining {
		b.logger.Info("replica draining", "replica", replica.ID, "state", replica.State)
	}
	b.draining[replica.ID] = time.Now()
	delete(listing, replica.ID)
	return outcome
}

// factsOf returns the facts that decide what happens to a replica whose entry was read.
func (b *entryTracker) factsOf(replica *Replica) entryFacts {
	known := entryFacts{state: replica.State, wasDraining: b.isDraining(replica.ID)}
	if newest := b.incarnations[replica.InstanceName()]; newest != nil && replica.StartedMs < newest.startedMs {
		known.isEarlierIncarnation = true
		known.sinceLaterIncarnation = b.clock.Since(newest.seen)
	}
	return known
}

// recordIncarnation records a replica as the latest incarnation of its name and removes the
// previous incarnation from the listing.
func (b *entryTracker) recordIncarnation(listing map[string]*Replica, replica *Replica) {
	name := replica.InstanceName()
	known := b.incarnations[name]
	if known == nil {
		known = &incarnation{}
		b.incarnations[name] = known
	} else if known.id != replica.ID {
		b.logger.Info("replica restarted", "replica", replica.ID, "before", known.id)
		b.stopKeepTimer(known.id)
		delete(listing, known.id)
	}
	*known = incarnation{id: replica.ID, startedMs: replica.StartedMs, seen: b.clock()}
}

// deferStale defers a stale entry. It is applied after staleEntryPeriod unless another entry
// follows.
func (b *entryTracker) deferStale(late *Replica) {
	known := b.incarnations[late.InstanceName()]
	b.logger.Info("deferring stale entry of an earlier incarnation", "replica", known.id, "earlier", late.ID, "state", late.State)
	known.staleEntry = late
	time.AfterFunc(staleEntryPeriod, func() { b.onStaleEntry(known, late) })
}

// acceptStale reports whether a deferred entry is still the last entry read for its name, and
// in that case makes the next read accept it: the store has held it for long enough to be
// current, whatever its start time.
func (b *entryTracker) acceptStale(known *incarnation, late *Replica) bool {
	if b.incarnations[late.InstanceName()] != known || known.staleEntry != late {
		return false
	}
	known.seen = time.Time{}
	return true
}

// applyMissing keeps a replica without an entry in a listing for up to keepFor, or omits it.
func (b *entryTracker) applyMissing(listing map[string]*Replica, replica *Replica, keepFor time.Duration) {
	id := replica.ID
	known := missingFacts{isDraining: b.isDraining(id), isSuperseded: b.isSuperseded(replica), isKept: b.kept[id] != nil, keepFor: keepFor}
	if known.isDraining || known.isSuperseded {
		return
	}
	if !known.isKept {
		b.logger.Info("replica entry missing from store", "replica", id, "keptMs", keepFor.Milliseconds())
	}
	if disposeMissing(known) == dispositionDrop {
		return
	}
	listing[id] = replica
	if !known.isKept {
		b.kept[id] = time.AfterFunc(keepFor, func() { b.onKeepExpired(id) })
	}
}

// expireKept ends the keep time of a replica without an entry. It reports whether the replica
// was still kept.
func (b *entryTracker) expireKept(id string) bool {
	if b.kept[id] == nil {
		return false
	}
	delete(b.kept, id)
	return true
}

// stopKeepTimer cancels the keep time of a replica without an entry.
func (b *entryTracker) stopKeepTimer(id string) {
	if timer := b.kept[id]; timer != nil {
		timer.Stop()
		delete(b.kept, id)
	}
}

// latestID returns the id of the latest known incarnation of a name, or the name itself if
// none is known.
func (b *entryTracker) latestID(name string) string {
	if known := b.incarnations[name]; known != nil {
		return known.id
	}
	return name
}

// isDraining reports whether an entry of the replica said that it drains.
func (b *entryTracker) isDraining(id string) bool {
	_, known := b.draining[id]
	return known
}

// isSuperseded reports whether another incarnation of the same name is the latest.
func (b *entryTracker) isSuperseded(replica *Replica) bool {
	known := b.incarnations[replica.InstanceName()]
	return known != nil && known.id != replica.ID
}

// evictExpired removes expired draining replicas and incarnations. Incarnations that are listed do
// not expire.
func (b *entryTracker) evictExpired(listed map[string]*Replica) {
	maps.DeleteFunc(b.draining, func(_ string, at time.Time) bool { return time.Since(at) > drainingRetention })
	if b.clock.Since(b.scannedAt) < incarnationScanInterval {
		return
	}
	b.scannedAt = b.clock()
	maps.DeleteFunc(b.incarnations, func(_ string, known *incarnation) bool {
		return listed[known.id] == nil && b.clock.Since(known.seen) > drainingRetention
	})
}
