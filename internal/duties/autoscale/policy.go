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
	// PolicyWork has a slot for each item known to be open at the peak of late.
	PolicyWork Policy = "work"
)

// Valid tells whether a policy is one of the known ones.
func (p Policy) Valid() bool { return p == PolicyNone || p == PolicySlots || p == PolicyWork }

const (
	// slotTarget is the share of the slots that PolicySlots wants in use: a quarter
	// is left for steps that begin while others run.
	slotTarget = 0.75
	// workHeadroom is how many slots PolicyWork has for each open item: a tenth more
	// than there are items, since some replicas are always loading weights.
	workHeadroom = 1.1
	// peakMemory is for how long a peak of the work is planned for: trainers ask for
	// a step every few seconds, and some steps of each have to be seen.
	peakMemory = 20 * time.Second
	// leastChange is the difference, in replicas of a zone, from which on an order is
	// worth its call, and leastGap the least time between two orders for a zone:
	// replicas take seconds to boot and to warm up, and none shows before that.
	leastChange = 2
	leastGap    = 8 * time.Second
	// shrinkAfter is for how long fewer replicas must have been wanted before some
	// are given back.
	shrinkAfter = 60 * time.Second
	// refusedPause is for how long a zone that had no replicas to give is not asked.
	refusedPause = 10 * time.Second
)
