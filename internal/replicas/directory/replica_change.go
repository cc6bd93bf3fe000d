package directory

// ReplicaChange is a change of a replica's entry in the store.
type ReplicaChange struct {
	// Name is what the replica is listed under.
	Name string
	// Replica is the entry's content, nil where it has vanished or cannot be read.
	Replica *Replica
	// Unreadable says that there is an entry that names no replica.
	Unreadable bool
}
