package directory

import (
	"strconv"
	"time"
)

// ReplicaState is the state in a replica's entry.
type ReplicaState string

// The states of a replica.
const (
	ReplicaReady    ReplicaState = "ready"
	ReplicaDraining ReplicaState = "draining"
)

// Replica is an incarnation of a replica, as its entry in the store describes it.
type Replica struct {
	// ID identifies the incarnation: the replica's name and start time. State about a
	// replica is stored by ID, so that a restarted replica starts without it.
	ID string
	// Name is the name of the replica's entry and in requests to it. It may stay the same
	// across restarts. Empty if it equals ID.
	Name string
	// StartedMs is when the replica started, in Unix milliseconds by its own wall clock. 0 if
	// unknown.
	StartedMs int64
	Service   string
	Address   string
	Zone      string
	Slots     int
	State     ReplicaState
	// Versions is the weight version of each loaded model.
	Versions map[string]int64
	// WarmUpRemaining is the remaining warm-up time when the entry was written.
	WarmUpRemaining time.Duration
	// Spot is set for replicas on spot capacity, which may be reclaimed at short notice, a
	// whole zone at once.
	Spot bool
	// ShutdownIn is the remaining time until a replica with a shutdown notice stops, 0 if
	// unknown.
	ShutdownIn time.Duration
}

// incarnationMark separates the name of a replica from its start time in the ID.
const incarnationMark = "@"

// IncarnationID returns the ID of the incarnation of a replica that started at the given
// time, in Unix milliseconds. The ID is the name if the time is 0, unknown.
func IncarnationID(name string, startedMs int64) string {
	if startedMs == 0 {
		return name
	}
	return name + incarnationMark + strconv.FormatInt(startedMs, 10)
}

// InstanceName returns the name of the replica's entry and in requests to it.
func (r *Replica) InstanceName() string {
	if r.Name == "" {
		return r.ID
	}
	return r.Name
}
