package placement

import "time"

// ReplicaHealth is the health of a replica as its runs have shown it.
type ReplicaHealth struct {
	// Failing is set if so many of the most recent runs failed that the cause is likely
	// the replica and not the items.
	Failing bool
	// Unresponsive is set if a run failed before its first event, or stalled, and the replica
	// has sent no event since. The replica may be down.
	Unresponsive bool
	// SinceEvent is the time since the replica last sent an event to this node.
	SinceEvent time.Duration
}
