package slowstart

import "time"

// WarmingReplica is a replica that is warming up.
type WarmingReplica struct {
	Replica string
	Gate    *Gate
	// Until is when the warm-up ends, in this node's boot-time clock.
	Until time.Time
}
