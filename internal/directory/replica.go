package directory

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
}
