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
	// Incarnation is the start time of the node's process, 0 for unknown; a later process
	// has a greater one.
	Incarnation uint64
	// Capacity is the node's CPU capacity in millicores, 0 for unknown.
	Capacity uint32
	// LastHeartbeat is when its last heartbeat was received; zero for never.
	LastHeartbeat time.Time
	// LastActive is when it last reported that it runs batch jobs or holds the duty lease;
	// zero for never.
	LastActive time.Time
}

// toWire returns the peer as listed in the reply to a join request.
func (p *Peer) toWire() wire.PeerAddress {
	return wire.PeerAddress{Node: p.Node, Address: p.Address, Zone: p.Zone, Capacity: p.Capacity, Incarnation: p.Incarnation}
}
