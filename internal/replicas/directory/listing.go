package directory

import (
	"maps"
	"time"
)

// leftMemory is how long a replica that leaves is remembered after it was listed
// last. Ids are never used again; no change older than that arrives.
const leftMemory = 10 * time.Minute

// SetReplicas replaces the whole listing. Replicas that are not in it are kept
// for keepMissing longer.
func (t *Table) SetReplicas(replicas []*Replica, keepMissing time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	next := *t.view.Load()
	current := next.Replicas
	next.Replicas = map[string]*Replica{}
	for _, replica := range replicas {
		if t.takeEntry(next.Replicas, replica) == dispositionLate {
			t.keepNewest(next.Replicas, current, replica.InstanceName())
		}
	}
	for id, replica := range current {
		if next.Replicas[id] == nil {
			t.takeMissing(next.Replicas, replica, keepMissing)
		}
	}
	next.ReplicasKnown = true
	t.publishReplicas(&next)
}

// ApplyReplicas takes changes that came together, oldest first, and makes one
// view of them. Replicas whose entries have vanished are kept for keepMissing longer.
func (t *Table) ApplyReplicas(changes []ReplicaChange, keepMissing time.Duration) {
	if len(changes) == 0 {
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	next := *t.view.Load()
	next.Replicas = maps.Clone(next.Replicas)
	touched := map[string]bool{}
	for _, change := range changes {
		touched[t.startOf(change.Name)] = true
		t.applyChange(next.Replicas, change, keepMissing)
		touched[t.startOf(change.Name)] = true
	}
	t.publishTouched(&next, touched)
}

// applyChange applies a change to a listing.
func (t *Table) applyChange(listing map[string]*Replica, change ReplicaChange, keepMissing time.Duration) {
	id := t.startOf(change.Name)
	current := listing[id]
	switch {
	case change.Replica != nil:
		t.takeEntry(listing, change.Replica)
	case change.Unreadable:
		// The replica may have moved or left since: nothing is known of it until it
		// writes again.
		delete(listing, id)
		t.stopKeeping(id)
	case current != nil:
		delete(listing, id)
		t.takeMissing(listing, current, keepMissing)
	}
}

// takeEntry takes a replica's entry into a listing, in place of an earlier start of the
// same name, unless it is late or the replica leaves.
func (t *Table) takeEntry(listing map[string]*Replica, replica *Replica) disposition {
	known := t.entryFacts(replica)
	outcome := disposeEntry(known)
	if outcome == dispositionLate {
		t.delayLateEntry(replica)
		return outcome
	}
	t.recordStart(listing, replica)
	t.stopKeeping(replica.ID)
	delete(t.unreadable, replica.InstanceName())
	if outcome == dispositionUse {
		listing[replica.ID] = replica
		return outcome
	}
	if !known.hasLeft {
		t.logger.Info("replica draining", "replica", replica.ID, "state", replica.State)
	}
	t.left[replica.ID] = time.Now()
	delete(listing, replica.ID)
	return outcome
}

// entryFacts is what is known of a replica whose entry was read.
func (t *Table) entryFacts(replica *Replica) entryFacts {
	known := entryFacts{state: replica.State, hasLeft: t.hasLeft(replica.ID)}
	if newest := t.starts[replica.InstanceName()]; newest != nil && replica.Born < newest.born {
		known.isEarlierStart = true
		known.sinceLaterStart = t.clock.Since(newest.seen)
	}
	return known
}

// takeMissing keeps a replica without an entry in a listing for a while, or leaves it out.
func (t *Table) takeMissing(listing map[string]*Replica, replica *Replica, keepFor time.Duration) {
	id := replica.ID
	known := missingFacts{hasLeft: t.hasLeft(id), isSuperseded: t.isSuperseded(replica), isKept: t.kept[id] != nil, keepFor: keepFor}
	if known.hasLeft || known.isSuperseded {
		return
	}
	if !known.isKept {
		t.logger.Info("replica entry vanished", "replica", id, "keptMs", keepFor.Milliseconds())
	}
	if disposeMissing(known) == dispositionDrop {
		return
	}
	listing[id] = replica
	if !known.isKept {
		t.kept[id] = time.AfterFunc(keepFor, func() { t.endKeeping(id) })
	}
}

// endKeeping drops a replica that was kept without an entry.
func (t *Table) endKeeping(id string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.kept[id] == nil {
		return
	}
	delete(t.kept, id)
	next := *t.view.Load()
	next.Replicas = maps.Clone(next.Replicas)
	delete(next.Replicas, id)
	t.publishTouched(&next, map[string]bool{id: true})
}

// stopKeeping ends the time that a replica is kept without an entry.
func (t *Table) stopKeeping(id string) {
	if timer := t.kept[id]; timer != nil {
		timer.Stop()
		delete(t.kept, id)
	}
}

// hasLeft reports whether a replica has said that it leaves.
func (t *Table) hasLeft(id string) bool {
	_, known := t.left[id]
	return known
}

// forgetOld drops what is known of replicas that left long ago.
func (t *Table) forgetOld() {
	t.forgetUnreadable()
	t.forgetStarts()
	maps.DeleteFunc(t.left, func(_ string, listed time.Time) bool { return time.Since(listed) > leftMemory })
}
