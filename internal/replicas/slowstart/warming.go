package slowstart

import "time"

// Warming is a replica that is warming up.
type Warming struct {
	Replica string
	Gate    *Gate
	// Until is when the warm-up ends, in this node's boot-time clock.
	Until time.Time
}
