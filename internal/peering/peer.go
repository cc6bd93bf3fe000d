package peering

import "time"

// Peer is another node.
type Peer struct {
	Node    string
	Address string
	Zone    string
	// Incarnation is when its process started; a greater one is newer. 0 is
	// unknown.
	Incarnation uint64
	// Heard is when something came from it last.
	Heard time.Time
	// ActiveAt is when it last told that it runs batch jobs or gives orders to
	// replicas.
	ActiveAt time.Time
}
