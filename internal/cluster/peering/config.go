package peering

import (
	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/environment"
	"github.com/pathtally/pathtally/internal/store/objectstore"
	"github.com/pathtally/pathtally/internal/wire"
)

// defaultMaxBroadcastPeers is the default of Config.MaxBroadcastPeers.
const defaultMaxBroadcastPeers = 128

// Config holds the settings and dependencies of a Table.
type Config struct {
	Node    string
	Address string
	Zone    string
	// Incarnation is the start time of this process; a later process has a greater one.
	Incarnation uint64
	// Capacity is this node's CPU capacity in millicores, 0 for unknown.
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
	// HeartbeatTargets returns the names of the nodes that get every heartbeat of this
	// node, besides the active peers; nil for none.
	HeartbeatTargets func() []string
	// MaxBroadcastPeers is the number of peers up to which Announce reaches all of them, 0
	// for the default of 128.
	MaxBroadcastPeers int
}
