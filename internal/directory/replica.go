package directory

import "time"

// ReplicaState is what a replica says of itself.
type ReplicaState string

// The states of a replica.
const (
	ReplicaReady    ReplicaState = "ready"
	ReplicaDraining ReplicaState = "draining"
)

// Replica is one incarnation of a back end, as the store lists it.
type Replica struct {
	// ID is new at every start.
	ID      string
	Service string
	Address string
	Zone    string
	Slots   int
	State   ReplicaState
	// Versions gives the weight version of each model it holds.
	Versions map[string]int64
	// Warming is for how much longer it serves slowly, as it said when it wrote the
	// entry.
	Warming time.Duration
	// Spot replicas may be taken away at short notice, a whole zone at once.
	Spot bool
	// Leaves is the time left to a replica that has been told to leave, 0 for unknown.
	Leaves time.Duration
}
