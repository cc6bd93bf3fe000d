package weightorders

import "github.com/pathtally/pathtally/internal/replicas/directory"

// Target is one start of a replica.
type Target struct {
	// ID is that of the replica's start.
	ID string
	// Instance is the name that the replica answers to.
	Instance string
	// StartedMs is when the replica started by its own clock, in milliseconds since the start
	// of 1970; 0 for unknown.
	StartedMs int64
	Address   string
}

// targetOf returns a listed replica as it is asked and ordered.
func targetOf(replica *directory.Replica) Target {
	return Target{ID: replica.ID, Instance: replica.InstanceName(), StartedMs: replica.StartedMs, Address: replica.Address}
}

// InstanceName returns the name that the replica answers to.
func (t Target) InstanceName() string {
	if t.Instance == "" {
		return t.ID
	}
	return t.Instance
}
