package placement

import "time"

// Weights for comparing replicas, as a multiple of a full load: 1 is the difference between
// an idle replica and a full one.
const (
	// slowPenalty orders slow and failing replicas after all others.
	slowPenalty = 10
	// paceBias is multiplied by the slowdown of a replica, so that slower replicas are used
	// once the faster ones are nearly full.
	paceBias = 3
	// connectionBonus is subtracted for replicas to which this node has open connections.
	connectionBonus = 0.3
)

const (
	// connectionIdleTime is how long after an event the connection to its replica is
	// assumed to be open.
	connectionIdleTime = 4 * time.Second
	// FailingRuns is the maximum number of items that run at a failing replica.
	FailingRuns = 1
	// unresponsiveRuns is the maximum number of items added at once to a replica that may be
	// down, since each may fail to connect.
	unresponsiveRuns = 1
)

// Replica is a view of a replica that items may be sent to.
type Replica struct {
	Name string
	// Slots is the number of items that the replica can run at once.
	Slots int
	// Load is the number of items that the replica runs for all nodes.
	Load int
	// MaxLoad is the load at which the replica gets no further items.
	MaxLoad int
	// ExpectedEvents is the number of events that the texts of these items are expected to have.
	ExpectedEvents int
	// failing is ReplicaHealth.Failing.
	failing bool
	// connected is set if this node probably has an open connection to the replica.
	connected bool
	// unresponsive is ReplicaHealth.Unresponsive.
	unresponsive bool
	// bias is added to the utilization when replicas are compared.
	bias float64
}

// NewReplica returns a view of a replica with the given slots and load.
func NewReplica(name string, slots, load int, paces Paces, health ReplicaHealth) *Replica {
	return &Replica{
		Name: name, Slots: slots, Load: load,
		MaxLoad: maxLoadOf(slots, load, health),
		failing: health.Failing, unresponsive: health.Unresponsive, connected: health.SinceEvent < connectionIdleTime,
		bias: biasOf(paces.slowdown(name), paces.isSlow(name), health),
	}
}

// maxLoadOf returns the load at which a replica gets no further items: its slots, or fewer
// while it is failing or may be down.
func maxLoadOf(slots, load int, health ReplicaHealth) int {
	limit := slots
	if health.Failing {
		limit = min(limit, FailingRuns)
	}
	if health.Unresponsive {
		limit = min(limit, load+unresponsiveRuns)
	}
	return limit
}

// biasOf returns the bias of a replica: larger for slower and failing replicas, smaller for
// one with open connections.
func biasOf(slowdown float64, isSlow bool, health ReplicaHealth) float64 {
	bias := paceBias * slowdown
	if health.Failing || isSlow {
		bias += slowPenalty
	}
	if health.SinceEvent < connectionIdleTime {
		bias -= connectionBonus
	}
	return bias
}

// biasedUtilization returns the utilization of the slots plus the bias. Replicas with
// the lowest value are picked first.
func (r *Replica) biasedUtilization() float64 { return float64(r.Load)/float64(r.Slots) + r.bias }

// hasCapacity reports whether the replica may get another item.
func (r *Replica) hasCapacity() bool { return r.Load < r.MaxLoad }

// Add adds an item to the load of the replica. The whole text counts, as in ExpectedEvents, since
// the replica's memory holds all of it.
func (r *Replica) Add(work Work) {
	r.Load++
	r.ExpectedEvents += work.TextEvents
}
