package placement

import "time"

// Condition is what is known of a replica besides its load and pace.
type Condition struct {
	// Failing is set where so many of its newest runs failed that the replica is to blame
	// rather than the items.
	Failing bool
	// Unproven is set where it has broken off a run before the first event, or stalled,
	// and sent no event since: it may be down.
	Unproven bool
	// SinceEvent is the time since it last sent this node an event.
	SinceEvent time.Duration
}
