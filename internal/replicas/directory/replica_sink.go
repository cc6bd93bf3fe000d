package directory

import (
	"time"

	"github.com/pathtally/pathtally/internal/store/objectstore"
)

// ReplicaSink applies the stored entries of replicas to the table.
type ReplicaSink struct {
	Table   *Table
	Decoder Decoder
	// KeepMissing returns how long a replica is kept if its entry is missing after an
	// outage of the store. A live replica writes its entry again at its next heartbeat, and
	// a stopped one must not get requests for longer.
	KeepMissing func() time.Duration
}

// Replace implements Sink.
func (s ReplicaSink) Replace(objects []objectstore.Object, afterOutage bool) {
	replicas := make([]*Replica, 0, len(objects))
	var unreadable []ReplicaChange
	for _, object := range objects {
		replica, isUnreadable := s.decode(object)
		if isUnreadable {
			unreadable = append(unreadable, ReplicaChange{Name: object.Name, Unreadable: true})
			continue
		}
		replicas = append(replicas, replica)
	}
	// SetReplicas may keep replicas that are missing from the listing. Those with an
	// unreadable entry must be removed first.
	s.Table.ApplyReplicas(unreadable, 0)
	s.Table.SetReplicas(replicas, s.keepFor(afterOutage))
}

// Apply implements Sink.
func (s ReplicaSink) Apply(changes []objectstore.Change, afterOutage bool) {
	changed := make([]ReplicaChange, 0, len(changes))
	for _, change := range changes {
		next := ReplicaChange{Name: change.Object.Name}
		if !change.Deleted {
			next.Replica, next.Unreadable = s.decode(change.Object)
		}
		changed = append(changed, next)
	}
	s.Table.ApplyReplicas(changed, s.keepFor(afterOutage))
}

// decode decodes an entry. Entries may be written by other programs, so unreadable ones are
// reported and not fatal.
func (s ReplicaSink) decode(object objectstore.Object) (replica *Replica, unreadable bool) {
	replica, err := s.Decoder.Replica(object.Name, object.Spec)
	if err != nil {
		s.Table.recordUnreadable(object, err)
		return nil, true
	}
	replica.Name = object.Name
	replica.ID = IncarnationID(object.Name, replica.StartedMs)
	return replica, false
}

func (s ReplicaSink) keepFor(afterOutage bool) time.Duration {
	if afterOutage {
		return s.KeepMissing()
	}
	return 0
}
