package directory

import (
	"time"

	"github.com/pathtally/pathtally/internal/store/objectstore"
)

// ReplicaSink takes the entries of replicas.
type ReplicaSink struct {
	Table   *Table
	Decoder Decoder
	// KeepMissing is how long a replica whose entry vanished around an outage
	// of the store is kept: a living one writes its entry again at its next
	// heartbeat, and one that leaves must get no more work by then.
	KeepMissing func() time.Duration
}

// Replace implements Sink.
func (s ReplicaSink) Replace(objects []objectstore.Object, afterOutage bool) {
	replicas := make([]*Replica, 0, len(objects))
	var unreadable []ReplicaChange
	for _, object := range objects {
		replica, isUnreadable := s.read(object)
		if isUnreadable {
			unreadable = append(unreadable, ReplicaChange{Name: object.Name, Unreadable: true})
			continue
		}
		replicas = append(replicas, replica)
	}
	// Before the listing: what it lacks may be kept for a while, but not these.
	s.Table.ApplyReplicas(unreadable, 0)
	s.Table.SetReplicas(replicas, s.keepFor(afterOutage))
}

// Apply implements Sink.
func (s ReplicaSink) Apply(changes []objectstore.Change, afterOutage bool) {
	changed := make([]ReplicaChange, 0, len(changes))
	for _, change := range changes {
		next := ReplicaChange{Name: change.Object.Name}
		if !change.Deleted {
			next.Replica, next.Unreadable = s.read(change.Object)
		}
		changed = append(changed, next)
	}
	s.Table.ApplyReplicas(changed, s.keepFor(afterOutage))
}

// read reads an entry, which may be another writer's.
func (s ReplicaSink) read(object objectstore.Object) (replica *Replica, unreadable bool) {
	replica, err := s.Decoder.Replica(object.Name, object.Spec)
	if err != nil {
		s.Table.recordUnreadable(object, err)
		return nil, true
	}
	replica.Name = object.Name
	replica.ID = IncarnationID(object.Name, replica.Born)
	return replica, false
}

func (s ReplicaSink) keepFor(afterOutage bool) time.Duration {
	if afterOutage {
		return s.KeepMissing()
	}
	return 0
}
