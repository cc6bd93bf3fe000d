package peering

import (
	"sync"
	"time"

	"github.com/pathtally/pathtally/internal/wire"
)

// Table is a node's table of its peers. It is safe for concurrent use.
type Table struct {
	config Config
	mutex  sync.Mutex
	seeds  []string
	peers  map[string]*Peer
	// membershipVersion counts the changes of the set of peers and of their zones.
	membershipVersion uint64
	// joined is set once this node's entry is written and the other nodes are known.
	joined bool
	// joinAttempted is set after the first attempt to join.
	joinAttempted bool
	// isNew is set if this node had no entry in the store when it joined.
	isNew bool
	// lastHeartbeat is when a heartbeat was last sent. heartbeatDue is set while one is
	// scheduled.
	lastHeartbeat time.Time
	heartbeatDue  bool
}

// NewTable returns an empty table.
func NewTable(config Config) *Table {
	if config.MaxBroadcastPeers == 0 {
		config.MaxBroadcastPeers = defaultMaxBroadcastPeers
	}
	return &Table{config: config, seeds: config.Seeds, peers: map[string]*Peer{}}
}

// SetSeeds replaces the addresses of the seeds.
func (t *Table) SetSeeds(seeds []string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.seeds = seeds
}

// add adds or updates a peer. It ignores a peer that is known with a newer incarnation, and
// one of unknown incarnation that is known at the same address.
func (t *Table) add(peer Peer) {
	if peer.Node == t.config.Node || peer.Address == "" {
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known := t.peers[peer.Node]
	if known == nil {
		t.peers[peer.Node] = &peer
		t.membershipVersion++
		return
	}
	if peer.Incarnation < known.Incarnation || (peer.Incarnation == 0 && peer.Address == known.Address) {
		return
	}
	known.Address, known.Incarnation = peer.Address, peer.Incarnation
	if peer.Zone != "" && peer.Zone != known.Zone {
		known.Zone = peer.Zone
		t.membershipVersion++
	}
	if peer.Capacity > 0 {
		known.Capacity = peer.Capacity
	}
}

// HandleHeartbeat updates the table with the sender of a heartbeat and the peers that it
// lists.
func (t *Table) HandleHeartbeat(heartbeat *wire.NodeBeat) {
	if heartbeat.Node == t.config.Node {
		return
	}
	t.add(Peer{Node: heartbeat.Node, Address: heartbeat.Address, Zone: heartbeat.Zone, Incarnation: heartbeat.Incarnation, Capacity: heartbeat.Capacity})
	t.mutex.Lock()
	if known := t.peers[heartbeat.Node]; known != nil && known.Incarnation == heartbeat.Incarnation {
		known.LastHeartbeat = time.Now()
		if isActive(heartbeat) {
			known.LastActive = known.LastHeartbeat
		}
	}
	t.mutex.Unlock()
	for _, other := range heartbeat.Peers {
		t.add(Peer{Node: other.Node, Address: other.Address, Zone: other.Zone, Capacity: other.Capacity, Incarnation: other.Incarnation})
	}
	t.config.OnHeartbeat(heartbeat)
}
