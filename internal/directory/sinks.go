package directory

import (
	"time"

	"github.com/pathtally/pathtally/internal/objectstore"
)

// takeAll hands every listed object on.
func takeAll(objects []objectstore.Object, take func(objectstore.Object)) {
	for _, object := range objects {
		take(object)
	}
}

// takePresent hands changed objects on, but no removed ones.
func takePresent(changes []objectstore.Change, take func(objectstore.Object)) {
	for _, change := range changes {
		if !change.Gone {
			take(change.Object)
		}
	}
}

// ConfigurationSink takes the configuration object.
type ConfigurationSink struct {
	Table   *Table
	Decoder Decoder
	// Name is the object that holds the configuration.
	Name string
}

// Replace implements Sink.
func (s ConfigurationSink) Replace(objects []objectstore.Object, _ bool) {
	takeAll(objects, s.take)
}

// Apply implements Sink.
func (s ConfigurationSink) Apply(changes []objectstore.Change, _ bool) {
	takePresent(changes, s.take)
}

func (s ConfigurationSink) take(object objectstore.Object) {
	if object.Name != s.Name {
		return
	}
	configuration, err := s.Decoder.Configuration(object.Spec)
	if err != nil {
		s.Table.logger.Error(err, "configuration is not readable", "revision", object.Revision)
		return
	}
	s.Table.SetConfiguration(configuration, object.Revision)
}

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
	for _, object := range objects {
		if replica := s.decode(object); replica != nil {
			replicas = append(replicas, replica)
		}
	}
	s.Table.SetReplicas(replicas, s.keepFor(afterOutage))
}

// Apply implements Sink.
func (s ReplicaSink) Apply(changes []objectstore.Change, afterOutage bool) {
	changed := make([]ReplicaChange, 0, len(changes))
	for _, change := range changes {
		if change.Gone {
			changed = append(changed, ReplicaChange{ID: change.Object.Name})
		} else if replica := s.decode(change.Object); replica != nil {
			changed = append(changed, ReplicaChange{ID: replica.ID, Replica: replica})
		}
	}
	s.Table.ApplyReplicas(changed, s.keepFor(afterOutage))
}

func (s ReplicaSink) keepFor(afterOutage bool) time.Duration {
	if afterOutage {
		return s.KeepMissing()
	}
	return 0
}

func (s ReplicaSink) decode(object objectstore.Object) *Replica {
	replica, err := s.Decoder.Replica(object.Name, object.Spec)
	if err != nil {
		s.Table.logger.Error(err, "replica entry is not readable", "replica", object.Name)
		return nil
	}
	return replica
}

// VersionSink takes the weight versions that trainers name.
type VersionSink struct {
	Table   *Table
	Decoder Decoder
}

// Replace implements Sink.
func (s VersionSink) Replace(objects []objectstore.Object, _ bool) {
	takeAll(objects, s.take)
}

// Apply implements Sink.
func (s VersionSink) Apply(changes []objectstore.Change, _ bool) {
	takePresent(changes, s.take)
}

func (s VersionSink) take(object objectstore.Object) {
	model, version, err := s.Decoder.Version(object.Spec)
	if err != nil {
		s.Table.logger.Error(err, "named version is not readable", "object", object.Name)
		return
	}
	s.Table.SetVersion(model, version)
}
