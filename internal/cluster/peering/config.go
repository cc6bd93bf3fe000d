package peering

import (
	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/environment"
	"github.com/pathtally/pathtally/internal/store/objectstore"
	"github.com/pathtally/pathtally/internal/wire"
)

// defaultMaxBroadcastPeers is up to how many peers rare changes go to all of them.
const defaultMaxBroadcastPeers = 128

// Config holds the settings and dependencies of a Table.
type Config struct {
	Node    string
	Address string
	Zone    string
	// Incarnation is when this process started; a greater one is newer.
	Incarnation uint64
	// Capacity is this node's processor time in thousandths of a core, 0 for unknown.
	Capacity uint32
	// Seeds are the addresses of the nodes to join through.
	Seeds  []string
	Store  objectstore.Store
	Peers  environment.Peers
	Logger klog.Logger
	// FillHeartbeat fills in the state that this node reports to its peers.
	FillHeartbeat func(heartbeat *wire.NodeBeat)
	// OnHeartbeat is called with each heartbeat received from another node.
	OnHeartbeat func(heartbeat *wire.NodeBeat)
	// Watchers names the nodes that get every heartbeat of this node, besides the active
	// peers; nil for none.
	Watchers func() []string
	// MaxBroadcastPeers is up to how many peers Announce reaches all of them, 0 for the
	// default of 128.
	MaxBroadcastPeers int
}
