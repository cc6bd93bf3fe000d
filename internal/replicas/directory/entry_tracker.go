package directory

import (
	"maps"
	"time"

	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/clock"
)

const (
	// drainingRetention is how long a draining replica is remembered after its last entry.
	// It must be longer than the maximum delay of a change. IDs are never reused.
	drainingRetention = 10 * time.Minute
	// incarnationScanInterval is the time between scans for expired incarnations. Scans are
	// rare because there may be thousands of incarnations.
	incarnationScanInterval = time.Minute
)

// entryTracker applies replica entries to listings, based on the earlier entries. It is
// guarded by the table's mutex.
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
	// that ends the keep time.
	kept map[string]*time.Timer
	// onKeepExpired is called when the keep time of a replica ends. It is called without the
	// table's mutex.
	onKeepExpired func(id string)
	// onStaleEntry is called when a stale entry may be applied after all. It is called
	// without the table's mutex.
	onStaleEntry func(known *incarnation, stale *Replica)
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

func newEntryTracker(logger klog.Logger, timeSource clock.Clock) *entryTracker {
	return &entryTracker{logger: logger, clock: timeSource, draining: map[string]time.Time{}, incarnations: map[string]*incarnation{}, kept: map[string]*time.Timer{}}
}

// apply applies a change to a listing. It reports whether the change is an entry that is not
// stale.
func (e *entryTracker) apply(listing map[string]*Replica, change ReplicaChange, keepMissing time.Duration) bool {
	id := e.latestID(change.Name)
	current := listing[id]
	switch {
	case change.Replica != nil:
		return e.applyEntry(listing, change.Replica) != dispositionStale
	case change.Unreadable:
		// The replica may have moved or drained since, so it is not used until its next
		// entry.
		delete(listing, id)
		e.stopKeepTimer(id)
	case current != nil:
		delete(listing, id)
		e.applyMissing(listing, current, keepMissing)
	}
	return false
}

// applyEntry adds a replica to a listing, replacing an earlier incarnation of the same
// name, unless the entry is stale or the replica is draining.
func (e *entryTracker) applyEntry(listing map[string]*Replica, replica *Replica) disposition {
	known := e.factsOf(replica)
	outcome := disposeEntry(known)
	if outcome == dispositionStale {
		e.deferStale(replica)
		return outcome
	}
	e.recordIncarnation(listing, replica)
	e.stopKeepTimer(replica.ID)
	if outcome == dispositionUse {
		listing[replica.ID] = replica
		return outcome
	}
	if !known.wasDraining {
		e.logger.Info("replica draining", "replica", replica.ID, "state", replica.State)
	}
	e.draining[replica.ID] = time.Now()
	delete(listing, replica.ID)
	return outcome
}

// factsOf returns the facts that decide what happens to a replica whose entry was read.
func (e *entryTracker) factsOf(replica *Replica) entryFacts {
	known := entryFacts{state: replica.State, wasDraining: e.isDraining(replica.ID)}
	if newest := e.incarnations[replica.InstanceName()]; newest != nil && replica.StartedMs < newest.startedMs {
		known.isEarlierIncarnation = true
		known.sinceLaterIncarnation = e.clock.Since(newest.seen)
	}
	return known
}

// recordIncarnation records a replica as the latest incarnation of its name and removes the
// previous incarnation from the listing.
func (e *entryTracker) recordIncarnation(listing map[string]*Replica, replica *Replica) {
	name := replica.InstanceName()
	known := e.incarnations[name]
	if known == nil {
		known = &incarnation{}
		e.incarnations[name] = known
	} else if known.id != replica.ID {
		e.logger.Info("replica restarted", "replica", replica.ID, "before", known.id)
		e.stopKeepTimer(known.id)
		delete(listing, known.id)
	}
	*known = incarnation{id: replica.ID, startedMs: replica.StartedMs, seen: e.clock()}
}

// deferStale defers a stale entry. It is applied after staleEntryPeriod unless another entry
// follows.
func (e *entryTracker) deferStale(stale *Replica) {
	known := e.incarnations[stale.InstanceName()]
	e.logger.Info("deferring stale entry of an earlier incarnation", "replica", known.id, "earlier", stale.ID, "state", stale.State)
	known.staleEntry = stale
	time.AfterFunc(staleEntryPeriod, func() { e.onStaleEntry(known, stale) })
}

// acceptStale reports whether a deferred entry is still the last entry read for its name, and
// in that case makes the next read accept it: the store has held it for long enough to be
// current, whatever its start time.
func (e *entryTracker) acceptStale(known *incarnation, stale *Replica) bool {
	if e.incarnations[stale.InstanceName()] != known || known.staleEntry != stale {
		return false
	}
	known.seen = time.Time{}
	return true
}

// applyMissing keeps a replica without an entry in a listing for up to keepFor, or omits it.
func (e *entryTracker) applyMissing(listing map[string]*Replica, replica *Replica, keepFor time.Duration) {
	id := replica.ID
	known := missingFacts{isDraining: e.isDraining(id), isSuperseded: e.isSuperseded(replica), isKept: e.kept[id] != nil, keepFor: keepFor}
	if known.isDraining || known.isSuperseded {
		return
	}
	if !known.isKept {
		e.logger.Info("replica entry missing from store", "replica", id, "keptMs", keepFor.Milliseconds())
	}
	if disposeMissing(known) == dispositionDrop {
		return
	}
	listing[id] = replica
	if !known.isKept {
		e.kept[id] = time.AfterFunc(keepFor, func() { e.onKeepExpired(id) })
	}
}

// expireKept ends the keep time of a replica without an entry. It reports whether the replica
// was still kept.
func (e *entryTracker) expireKept(id string) bool {
	if e.kept[id] == nil {
		return false
	}
	delete(e.kept, id)
	return true
}

// stopKeepTimer cancels the keep time of a replica without an entry.
func (e *entryTracker) stopKeepTimer(id string) {
	if timer := e.kept[id]; timer != nil {
		timer.Stop()
		delete(e.kept, id)
	}
}

// latestID returns the id of the latest known incarnation of a name, or the name itself if
// none is known.
func (e *entryTracker) latestID(name string) string {
	if known := e.incarnations[name]; known != nil {
		return known.id
	}
	return name
}

// isDraining reports whether an entry of the replica had a state other than ready.
func (e *entryTracker) isDraining(id string) bool {
	_, known := e.draining[id]
	return known
}

// isSuperseded reports whether another incarnation of the same name is the latest.
func (e *entryTracker) isSuperseded(replica *Replica) bool {
	known := e.incarnations[replica.InstanceName()]
	return known != nil && known.id != replica.ID
}

// evictExpired removes expired draining replicas and incarnations. Incarnations that are
// listed do not expire.
func (e *entryTracker) evictExpired(listed map[string]*Replica) {
	maps.DeleteFunc(e.draining, func(_ string, at time.Time) bool { return time.Since(at) > drainingRetention })
	if e.clock.Since(e.scannedAt) < incarnationScanInterval {
		return
	}
	e.scannedAt = e.clock()
	maps.DeleteFunc(e.incarnations, func(_ string, known *incarnation) bool {
		return listed[known.id] == nil && e.clock.Since(known.seen) > drainingRetention
	})
}
