package directory

import (
	"maps"
	"time"
)

// startsScanInterval is the time between scans for starts to forget: there may be
// thousands, and keeping them costs little.
const startsScanInterval = time.Minute

// start is the newest start known of the replicas of one name.
type start struct {
	id   string
	born int64
	// seen is when an entry of that start was read last.
	seen time.Time
	// lateEntry is an entry of an earlier start that was read since, nil for none.
	lateEntry *Replica
}

// recordStart records the start of a replica as the newest of its name. A former start
// leaves the listing.
func (t *Table) recordStart(listing map[string]*Replica, replica *Replica) {
	name := replica.InstanceName()
	known := t.starts[name]
	if known == nil {
		known = &start{}
		t.starts[name] = known
	} else if known.id != replica.ID {
		t.logger.Info("replica started again", "replica", replica.ID, "before", known.id)
		t.stopKeeping(known.id)
		delete(listing, known.id)
	}
	*known = start{id: replica.ID, born: replica.Born, seen: t.clock()}
}

// keepNewest puts the newest start of a name into a listing that is built anew, if it is
// in use.
func (t *Table) keepNewest(listing, current map[string]*Replica, name string) {
	id := t.startOf(name)
	if used := current[id]; used != nil {
		listing[id] = used
	}
}

// startOf returns the id of the newest start known of a name, or the name itself.
func (t *Table) startOf(name string) string {
	if known := t.starts[name]; known != nil {
		return known.id
	}
	return name
}

// delayLateEntry sets a late entry aside, and applies it after all if no other follows.
func (t *Table) delayLateEntry(late *Replica) {
	name := late.InstanceName()
	known := t.starts[name]
	t.logger.Info("late word of an earlier start of a replica", "replica", known.id, "earlier", late.ID, "state", late.State)
	known.lateEntry = late
	time.AfterFunc(lateEntryPeriod, func() { t.applyLateEntry(name, known, late) })
}

// applyLateEntry applies a late entry if it is still the last one read of its name.
func (t *Table) applyLateEntry(name string, known *start, late *Replica) {
	t.mutex.Lock()
	isLast := t.starts[name] == known && known.lateEntry == late
	if isLast {
		// The store has had it for long, whatever its start time says.
		known.seen = time.Time{}
	}
	t.mutex.Unlock()
	if isLast {
		t.ApplyReplicas([]ReplicaChange{{Name: name, Replica: late}}, 0)
	}
}

// isSuperseded reports whether an entry of a later start of the same name was read.
func (t *Table) isSuperseded(replica *Replica) bool {
	known := t.starts[replica.InstanceName()]
	return known != nil && known.id != replica.ID
}

// forgetStarts drops the starts of replicas that left long ago.
func (t *Table) forgetStarts() {
	if t.clock.Since(t.startsScannedAt) < startsScanInterval {
		return
	}
	t.startsScannedAt = t.clock()
	listed := t.view.Load().Replicas
	maps.DeleteFunc(t.starts, func(_ string, known *start) bool {
		return listed[known.id] == nil && t.clock.Since(known.seen) > leftMemory
	})
}
