package directory

import (
	"maps"
	"time"
)

// SetReplicas replaces the listing. Replicas that are no longer in it are kept for
// keepMissing.
func (t *Table) SetReplicas(replicas []*Replica, keepMissing time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	next := *t.view.Load()
	current := next.Replicas
	next.Replicas = map[string]*Replica{}
	for _, replica := range replicas {
		if t.entries.applyEntry(next.Replicas, replica) == dispositionStale {
			// The listing has one entry per name, and it is of an earlier incarnation than
			// the one in use.
			if id := t.entries.latestID(replica.InstanceName()); current[id] != nil {
				next.Replicas[id] = current[id]
			}
			continue
		}
		t.unreadable.forget(replica.InstanceName())
	}
	for id, replica := range current {
		if next.Replicas[id] == nil {
			t.entries.applyMissing(next.Replicas, replica, keepMissing)
		}
	}
	next.ReplicasKnown = true
	t.publishReplicas(&next)
}

// ApplyReplicas applies a batch of changes, oldest first, and publishes one view. Replicas
// whose entries were removed are kept for keepMissing.
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
		touched[t.entries.latestID(change.Name)] = true
		if t.entries.apply(next.Replicas, change, keepMissing) {
			t.unreadable.forget(change.Name)
		}
		touched[t.entries.latestID(change.Name)] = true
	}
	t.publishTouched(&next, touched)
}

// expireKept removes a replica whose keep time has ended.
func (t *Table) expireKept(id string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if !t.entries.expireKept(id) {
		return
	}
	next := *t.view.Load()
	next.Replicas = maps.Clone(next.Replicas)
	delete(next.Replicas, id)
	t.publishTouched(&next, map[string]bool{id: true})
}

// applyStaleEntry applies a stale entry if it is still the last one read for its name.
func (t *Table) applyStaleEntry(known *incarnation, stale *Replica) {
	t.mutex.Lock()
	accepted := t.entries.acceptStale(known, stale)
	t.mutex.Unlock()
	if accepted {
		t.ApplyReplicas([]ReplicaChange{{Name: stale.InstanceName(), Replica: stale}}, 0)
	}
}
