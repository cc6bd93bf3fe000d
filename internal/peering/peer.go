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
	// Capacity is how many thousandths of a core it has, 0 for unknown.
	Capacity uint32
	// Heard is when something came from it last.
	Heard time.Time
	// ActiveAt is when it last told that it runs batch jobs or gives orders to
	// replicas.
	ActiveAt time.Time
}
