package autoscale

import "time"

// Policy determines the target number of replicas of a service.
type Policy string

// The policies.
const (
	// PolicyNone orders nothing.
	PolicyNone Policy = ""
	// PolicySlots keeps the utilization of the slots at or below a target.
	PolicySlots Policy = "slots"
	// PolicyWork provides a slot for each open item of the recent peak.
	PolicyWork Policy = "work"
)

// Valid reports whether the policy is known.
func (p Policy) Valid() bool { return p == PolicyNone || p == PolicySlots || p == PolicyWork }

const (
	// targetUtilization is the target utilization of PolicySlots, between 0 and 1. The free
	// slots are for training steps that begin while others run.
	targetUtilization = 0.75
	// slotsPerOpenItem is the number of slots per open item of PolicyWork. It exceeds 1
	// because some replicas are always loading weights.
	slotsPerOpenItem = 1.1
	// peakPeriod is the time over which the peak of the work is taken. It covers several
	// training steps of each trainer.
	peakPeriod = 20 * time.Second
)
