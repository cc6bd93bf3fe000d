package weightorders

import "github.com/pathtally/pathtally/internal/replicas/directory"

// Target is one incarnation of a replica, to which calls are sent.
type Target struct {
	// ID identifies the incarnation.
	ID string
	// Instance is the name by which calls address the replica; "" means the same as ID.
	Instance string
	// StartedMs is the start time of the replica by its own clock, in milliseconds since the
	// Unix epoch; 0 if unknown.
	StartedMs int64
	Address   string
}

// targetOf returns the target for a replica of the directory.
func targetOf(replica *directory.Replica) Target {
	return Target{ID: replica.ID, Instance: replica.InstanceName(), StartedMs: replica.StartedMs, Address: replica.Address}
}

// InstanceName returns the name by which calls address the replica.
func (t Target) InstanceName() string {
	if t.Instance == "" {
		return t.ID
	}
	return t.Instance
}
