package placement

import "time"

// Weights of the comparison of replicas, in full loads: 1 counts as much as the
// difference between an empty replica and a full one.
const (
	// slowPenalty puts slow and failing replicas behind all others.
	slowPenalty = 10
	// paceBias is added for each multiple of the fastest interval by which a replica's
	// exceeds it, so that it is used once the faster ones are nearly full.
	paceBias = 3
	// warmBonus is taken off for replicas to which this node has open connections.
	warmBonus = 0.3
)

const (
	// warmTime is how long after an event a connection to its replica is taken to be open.
	warmTime = 4 * time.Second
	// FailingRuns is the most items that run at a failing replica.
	FailingRuns = 1
	// unprovenRuns is the most items that are added to an unproven replica's load at once:
	// each may be a connection attempt in vain.
	unprovenRuns = 1
)

// Replica is the view of a replica that items may go to.
type Replica struct {
	Name string
	// Slots is the number of items that the replica can run at once.
	Slots int
	// Load is the number of items that run there, from all nodes.
	Load int
	// MaxLoad is the load at which it gets no further items.
	MaxLoad int
	// unproven is Condition.Unproven.
	unproven bool
	// bias is added to the load when replicas are compared, in full loads.
	bias float64
}

// NewReplica returns the view of a replica with so many slots and items.
func NewReplica(name string, slots, load int, paces Paces, condition Condition) *Replica {
	return &Replica{
		Name: name, Slots: slots, Load: load,
		MaxLoad:  maxLoadOf(slots, load, condition),
		unproven: condition.Unproven,
		bias:     biasOf(paces.slowdown(name), paces.isSlow(name), condition),
	}
}

// maxLoadOf returns the load at which a replica gets no further items: its slots, or less
// while it is failing or unproven.
func maxLoadOf(slots, load int, condition Condition) int {
	limit := slots
	if condition.Failing {
		limit = min(limit, FailingRuns)
	}
	if condition.Unproven {
		limit = min(limit, load+unprovenRuns)
	}
	return limit
}

// biasOf returns what is added to a replica's use, in full loads: more for a slower or
// failing replica, less for one with open connections.
func biasOf(slowdown float64, isSlow bool, condition Condition) float64 {
	bias := paceBias * slowdown
	if condition.Failing || isSlow {
		bias += slowPenalty
	}
	if condition.SinceEvent < warmTime {
		bias -= warmBonus
	}
	return bias
}

// use returns the share of the slots in use, plus the bias: replicas with the least use
// are picked first.
func (r *Replica) use() float64 { return float64(r.Load)/float64(r.Slots) + r.bias }

// hasRoom reports whether a further item may run there.
func (r *Replica) hasRoom() bool { return r.Load < r.MaxLoad }
