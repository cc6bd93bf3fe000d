package directory

// ReplicaChange is a change of a replica's entry in the store.
type ReplicaChange struct {
	// Name is the name of the entry.
	Name string
	// Replica is the decoded entry, nil if it was removed or cannot be decoded.
	Replica *Replica
	// Unreadable is set if the entry exists but cannot be decoded.
	Unreadable bool
}
