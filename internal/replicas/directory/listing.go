package directory

import (
	"maps"
	"time"
)

// ReplicaChange is a replica that is new or changed, or one whose entry has
// vanished or cannot be read if Replica is nil.
type ReplicaChange struct {
	// Name is what the replica is listed under.
	Name    string
	Replica *Replica
	// Unreadable tells that there is an entry that names no replica.
	Unreadable bool
}

// SetReplicas replaces the whole listing. Replicas that are not in it are kept
// for a while longer, none when keepMissing is 0.
func (t *Table) SetReplicas(replicas []*Replica, keepMissing time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	next := *t.view.Load()
	standing := next.Replicas
	next.Replicas = map[string]*Replica{}
	for _, replica := range replicas {
		t.admit(next.Replicas, replica)
	}
	for id, replica := range standing {
		if next.Replicas[id] == nil && !t.isDraining(id) && !t.isSuperseded(replica) {
			t.miss(next.Replicas, replica, keepMissing)
		}
	}
	next.ReplicasKnown = true
	t.publishReplicas(&next)
}

// ApplyReplicas takes changes that came together, oldest first, and makes one
// view of them. Replicas whose entries have vanished are kept for a while
// longer, none when keepMissing is 0.
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
		id := t.startOf(change.Name)
		touched[id] = true
		standing := next.Replicas[id]
		switch {
		case change.Replica != nil:
			t.admit(next.Replicas, change.Replica)
		case change.Unreadable:
			// Whoever wrote it, the replica may have moved or left since: nothing is known
			// of it until it writes again.
			delete(next.Replicas, id)
			t.stopKeeping(id)
		case standing != nil:
			delete(next.Replicas, id)
			t.miss(next.Replicas, standing, keepMissing)
		}
		touched[t.startOf(change.Name)] = true
	}
	t.publishTouched(&next, touched)
}

// admit puts a replica into a listing unless it is leaving, in place of an earlier start
// of the same name.
func (t *Table) admit(listing map[string]*Replica, replica *Replica) {
	if !t.noteStart(listing, replica) {
		t.keepNewest(listing, replica.InstanceName())
		return
	}
	t.stopKeeping(replica.ID)
	delete(t.unreadable, replica.InstanceName())
	known := t.isDraining(replica.ID)
	if replica.State != ReplicaReady && !known {
		t.logger.Info("replica draining", "replica", replica.ID, "state", replica.State)
	}
	if replica.State != ReplicaReady || known {
		t.draining[replica.ID] = time.Now()
		delete(listing, replica.ID)
		return
	}
	listing[replica.ID] = replica
}

// stopKeeping ends the time that a vanished replica is kept for.
func (t *Table) stopKeeping(id string) {
	if timer := t.missing[id]; timer != nil {
		timer.Stop()
		delete(t.missing, id)
	}
}

// isDraining tells whether a replica has said that it leaves.
func (t *Table) isDraining(id string) bool {
	_, known := t.draining[id]
	return known
}

// drainMemory is for how long a replica that leaves is remembered after it was
// listed last. Ids are never used again; news older than that does not arrive.
const drainMemory = 10 * time.Minute

// forgetDrained drops the replicas that have left long ago.
func (t *Table) forgetDrained() {
	t.forgetUnreadable()
	t.forgetStarts()
	maps.DeleteFunc(t.draining, func(_ string, listed time.Time) bool { return time.Since(listed) > drainMemory })
}

// miss keeps a vanished replica in a listing for a while, or drops it.
func (t *Table) miss(listing map[string]*Replica, replica *Replica, keep time.Duration) {
	id := replica.ID
	if t.missing[id] != nil {
		listing[id] = replica
		return
	}
	t.logger.Info("replica entry vanished", "replica", id, "keptMs", keep.Milliseconds())
	if keep <= 0 {
		return
	}
	listing[id] = replica
	t.missing[id] = time.AfterFunc(keep, func() { t.drop(id) })
}

// drop ends the time that a vanished replica was kept for.
func (t *Table) drop(id string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.missing[id] == nil {
		return
	}
	delete(t.missing, id)
	next := *t.view.Load()
	next.Replicas = maps.Clone(next.Replicas)
	delete(next.Replicas, id)
	t.publishTouched(&next, map[string]bool{id: true})
}
