package directory

import (
	"maps"
	"time"
)

// SetReplicas replaces the whole listing. Replicas that are not in it are kept
// for keepMissing longer.
func (t *Table) SetReplicas(replicas []*Replica, keepMissing time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	next := *t.view.Load()
	current := next.Replicas
	next.Replicas = map[string]*Replica{}
	for _, replica := range replicas {
		if t.entries.take(next.Replicas, replica) == dispositionLate {
			// The start in use has no entry in a listing that shows an earlier one.
			if id := t.entries.startOf(replica.InstanceName()); current[id] != nil {
				next.Replicas[id] = current[id]
			}
			continue
		}
		t.unreadable.forget(replica.InstanceName())
	}
	for id, replica := range current {
		if next.Replicas[id] == nil {
			t.entries.takeMissing(next.Replicas, replica, keepMissing)
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
		touched[t.entries.startOf(change.Name)] = true
		if t.entries.apply(next.Replicas, change, keepMissing) {
			t.unreadable.forget(change.Name)
		}
		touched[t.entries.startOf(change.Name)] = true
	}
	t.publishTouched(&next, touched)
}

// endKeeping drops a replica that was kept without an entry.
func (t *Table) endKeeping(id string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if !t.entries.endKeeping(id) {
		return
	}
	next := *t.view.Load()
	next.Replicas = maps.Clone(next.Replicas)
	delete(next.Replicas, id)
	t.publishTouched(&next, map[string]bool{id: true})
}

// applyLateEntry applies a late entry if it is still the last one read of its name.
func (t *Table) applyLateEntry(known *start, late *Replica) {
	t.mutex.Lock()
	admitted := t.entries.admitLate(known, late)
	t.mutex.Unlock()
	if admitted {
		t.ApplyReplicas([]ReplicaChange{{Name: late.InstanceName(), Replica: late}}, 0)
	}
}
