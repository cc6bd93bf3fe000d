package slowstart

import "time"

// Warming is a replica that is warming up.
type Warming struct {
	Replica string
	Gate    *Gate
	// Until is when it is warm, by this node's boot-time clock.
	Until time.Time
}
