package peering

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/environment"
	"github.com/pathtally/pathtally/internal/store/objectstore"
	"github.com/pathtally/pathtally/internal/wire"
)

// Config is what a Table needs.
type Config struct {
	Node        string
	Address     string
	Zone        string
	Incarnation uint64
	// Capacity is how many thousandths of a core this node has, 0 for unknown.
	Capacity uint32
	Seeds    []string
	Store    objectstore.Store
	Peers    environment.Peers
	Logger   klog.Logger
	// FillHeartbeat fills in the state that this node reports to its peers.
	FillHeartbeat func(heartbeat *wire.NodeBeat)
	// OnHeartbeat is called with each heartbeat received from another node.
	OnHeartbeat func(heartbeat *wire.NodeBeat)
	// Watchers names the nodes that hear every heartbeat of this node, besides
	// the active peers; nil for none.
	Watchers func() []string
	// MostTold is up to how many peers all hear of rare changes, 0 for the default.
	MostTold int
}

// Table is a node's list of its peers. It is safe for use by many goroutines.
type Table struct {
	config Config
	mutex  sync.Mutex
	seeds  []string
	peers  map[string]*Peer
	// membership counts the changes of the set of peers and of their zones.
	membership uint64
	joined     bool
	// tried is set after the first try to join.
	tried bool
	// isNew is set where this node had no entry when it joined.
	isNew bool
	// lastHeartbeat is when a heartbeat was sent last, and heartbeatDue is set
	// while one is scheduled.
	lastHeartbeat time.Time
	heartbeatDue  bool
}

// NewTable returns a table that knows nobody.
func NewTable(config Config) *Table {
	if config.MostTold == 0 {
		config.MostTold = defaultMostTold
	}
	return &Table{config: config, seeds: config.Seeds, peers: map[string]*Peer{}}
}

// SetSeeds changes the addresses to join through.
func (t *Table) SetSeeds(seeds []string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.seeds = seeds
}

// add records a peer unless it is known at that address with that incarnation
// or a newer one. An incarnation of 0 is unknown.
func (t *Table) add(peer Peer) {
	if peer.Node == t.config.Node || peer.Address == "" {
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	standing := t.peers[peer.Node]
	if standing == nil {
		t.peers[peer.Node] = &peer
		t.membership++
		return
	}
	if peer.Incarnation < standing.Incarnation || (peer.Incarnation == 0 && peer.Address == standing.Address) {
		return
	}
	standing.Address, standing.Incarnation = peer.Address, peer.Incarnation
	if peer.Zone != "" && peer.Zone != standing.Zone {
		standing.Zone = peer.Zone
		t.membership++
	}
	if peer.Capacity > 0 {
		standing.Capacity = peer.Capacity
	}
}

// Receive applies a heartbeat of another node.
func (t *Table) Receive(_ context.Context, heartbeat *wire.NodeBeat) {
	if heartbeat.Node == t.config.Node {
		return
	}
	t.add(Peer{Node: heartbeat.Node, Address: heartbeat.Address, Zone: heartbeat.Zone, Incarnation: heartbeat.Incarnation, Capacity: heartbeat.Capacity})
	t.mutex.Lock()
	if standing := t.peers[heartbeat.Node]; standing != nil && standing.Incarnation == heartbeat.Incarnation {
		standing.LastHeartbeat = time.Now()
		if isActive(heartbeat) {
			standing.LastActive = standing.LastHeartbeat
		}
	}
	t.mutex.Unlock()
	for _, other := range heartbeat.Peers {
		t.add(Peer{Node: other.Node, Address: other.Address, Zone: other.Zone, Capacity: other.Capacity, Incarnation: other.Incarnation})
	}
	t.config.OnHeartbeat(heartbeat)
}

// Get returns a peer by its node's name.
func (t *Table) Get(node string) (Peer, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	peer := t.peers[node]
	if peer == nil {
		return Peer{}, false
	}
	return *peer, true
}

// ZoneAt is the zone of the peer at an address, "" if it is not known.
func (t *Table) ZoneAt(address string) string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, peer := range t.peers {
		if peer.Address == address {
			return peer.Zone
		}
	}
	return ""
}

// Peers returns all peers known.
func (t *Table) Peers() []Peer {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	peers := make([]Peer, 0, len(t.peers))
	for _, peer := range t.peers {
		peers = append(peers, *peer)
	}
	return peers
}

// Nodes returns the names of all nodes known, this one included.
func (t *Table) Nodes() []string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	nodes := make([]string, 0, len(t.peers)+1)
	nodes = append(nodes, t.config.Node)
	for node := range t.peers {
		nodes = append(nodes, node)
	}
	slices.SortFunc(nodes, strings.Compare)
	return nodes
}

// Capacities returns how many thousandths of a core each node has, this one
// included, of those that have told.
func (t *Table) Capacities() map[string]uint32 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	capacities := map[string]uint32{t.config.Node: t.config.Capacity}
	for node, peer := range t.peers {
		capacities[node] = peer.Capacity
	}
	return capacities
}

// Membership counts the changes of the set of nodes and of their zones, so that
// what was worked out from these can be kept until it changes.
func (t *Table) Membership() uint64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.membership
}

// IsNew tells whether the deployment did not know this node when it joined.
func (t *Table) IsNew() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.isNew
}

// Joined tells whether the entries of the other nodes have been read.
func (t *Table) Joined() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.joined
}

// JoinAttempted reports whether this node has joined or has at least once failed to. After
// a failure it knows only the nodes that it has greeted.
func (t *Table) JoinAttempted() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.joined || t.tried
}
