package peering

import (
	"time"

	"github.com/pathtally/pathtally/internal/wire"
)

// Peer is another node.
type Peer struct {
	Node    string
	Address string
	Zone    string
	// Incarnation is when its process started, 0 for unknown. A greater one is newer.
	Incarnation uint64
	// Capacity is its processor time in thousandths of a core, 0 for unknown.
	Capacity uint32
	// LastHeartbeat is when its last heartbeat was received; zero for never.
	LastHeartbeat time.Time
	// LastActive is when it last reported that it runs batch jobs or holds the duty
	// lease; zero for never.
	LastActive time.Time
}

// address returns the form of a peer in the answer to a greeting.
func (p *Peer) address() wire.PeerAddress {
	return wire.PeerAddress{Node: p.Node, Address: p.Address, Zone: p.Zone, Capacity: p.Capacity, Incarnation: p.Incarnation}
}
