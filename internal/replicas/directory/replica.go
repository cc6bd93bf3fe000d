package directory

import (
	"strconv"
	"time"
)

// ReplicaState is the state that a replica's entry names.
type ReplicaState string

// The states of a replica.
const (
	ReplicaReady    ReplicaState = "ready"
	ReplicaDraining ReplicaState = "draining"
)

// Replica is one start of a back end, as the store lists it.
type Replica struct {
	// ID is new at every start: the replica's name and when it started. What a
	// node learns of a replica is kept by ID, so it begins anew with each start.
	ID string
	// Name is what the replica is listed under and answers to; it may last for several
	// starts. Empty where it is the ID.
	Name string
	// Born is when the replica started, in milliseconds since the start of 1970 by its
	// own time of day; 0 where it does not say.
	Born    int64
	Service string
	Address string
	Zone    string
	Slots   int
	State   ReplicaState
	// Versions gives the weight version of each model it holds.
	Versions map[string]int64
	// Warming is how much longer it serves slowly, counted from when it wrote the
	// entry.
	Warming time.Duration
	// Spot replicas may be taken away at short notice, a whole zone at once.
	Spot bool
	// Leaves is the time left to a replica that has been told to leave, 0 for unknown.
	Leaves time.Duration
}

// incarnationMark separates the name of a replica from its start in the ID.
const incarnationMark = "@"

// IncarnationID returns the ID of the replica of a name that started at a time, 0 for an
// unknown one.
func IncarnationID(name string, born int64) string {
	if born == 0 {
		return name
	}
	return name + incarnationMark + strconv.FormatInt(born, 10)
}

// InstanceName returns what the replica is listed under and answers to.
func (r *Replica) InstanceName() string {
	if r.Name == "" {
		return r.ID
	}
	return r.Name
}
