package placement

import "time"

const (
	// slowPenalty puts slow replicas behind all others, in full loads.
	slowPenalty = 10
	// paceBias puts a replica whose events take longer than the fastest's behind
	// others, in full loads for each time that they take longer: it is used once the
	// others are nearly full.
	paceBias = 3
	// warmBonus prefers replicas that this node has connections to over those it would
	// have to connect to, in full loads.
	warmBonus = 0.3
	// warmTime is for how long after an event from it a replica counts as one that
	// this node has connections to.
	warmTime = 4 * time.Second
	// FailingRuns is how many items run at a failing replica at most.
	FailingRuns = 1
	// unprovenRuns is how many more items an unproven one gets at once: each may be a
	// connection in vain.
	unprovenRuns = 1
)

// Replica is a replica that items may go to.
type Replica struct {
	Name  string
	Slots int
	// Load is how many items run there, from all nodes.
	Load int
	// MaxLoad is how many items may run there.
	MaxLoad int
	// unproven is set where it has broken runs off since its last event.
	unproven bool
	// bias is added to the use when replicas are compared, in full loads.
	bias float64
}

// Condition is what is known of a replica besides its load.
type Condition struct {
	// Failing tells that it answers its runs with failures.
	Failing bool
	// Unproven tells that it has broken a run off before the first event and sent none
	// since: it may be down.
	Unproven bool
	// SinceEvent is how long ago it sent this node an event.
	SinceEvent time.Duration
}

// NewReplica returns the view of a replica in some condition. Slow and failing ones
// come last.
func NewReplica(name string, slots, load int, paces Paces, condition Condition) *Replica {
	made := &Replica{Name: name, Slots: slots, Load: load, MaxLoad: slots, unproven: condition.Unproven, bias: paceBias * paces.excess(name)}
	if condition.Failing {
		made.MaxLoad = min(FailingRuns, slots)
	}
	if condition.Unproven {
		made.MaxLoad = min(made.MaxLoad, load+unprovenRuns)
	}
	if condition.Failing || paces.slow(name) {
		made.bias += slowPenalty
	}
	if condition.SinceEvent < warmTime {
		made.bias -= warmBonus
	}
	return made
}

// use is the part of the slots that is taken, and the bias.
func (r *Replica) use() float64 { return float64(r.Load)/float64(r.Slots) + r.bias }

// hasRoom tells whether a further item may run there.
func (r *Replica) hasRoom() bool { return r.Load < r.MaxLoad }
