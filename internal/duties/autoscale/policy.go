package autoscale

import "time"

// Policy is what the wanted number of replicas follows.
type Policy string

// The policies.
const (
	// PolicyNone orders nothing.
	PolicyNone Policy = ""
	// PolicySlots keeps the share of the slots in use at a target.
	PolicySlots Policy = "slots"
	// PolicyWork has a slot for each item open at the recent peak.
	PolicyWork Policy = "work"
)

// Valid reports whether a policy is one of the known ones.
func (p Policy) Valid() bool { return p == PolicyNone || p == PolicySlots || p == PolicyWork }

const (
	// slotTarget is the share of the slots, between 0 and 1, that PolicySlots wants in
	// use: the rest is for steps that begin while others run.
	slotTarget = 0.75
	// workHeadroom is how many slots PolicyWork has for each open item: more than there
	// are items, since some replicas are always loading weights.
	workHeadroom = 1.1
	// peakPeriod is how long a peak of the work is planned for: trainers submit a step
	// every few seconds, and some steps of each have to be seen.
	peakPeriod = 20 * time.Second
)
