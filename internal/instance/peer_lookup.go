package instance

import (
	"time"

	"github.com/pathtally/pathtally/internal/cluster/peering"
	"github.com/pathtally/pathtally/internal/replicas/directory"
	"github.com/pathtally/pathtally/internal/settings"
	"github.com/pathtally/pathtally/internal/store/watchcache"
)

// peerLookup gives other components access to the known nodes.
type peerLookup struct {
	peers     *peering.Table
	directory *directory.Table
	settings  settings.Settings
}

// storeNodes returns the nodes through which the store can be followed.
func (l *peerLookup) storeNodes() []watchcache.Node {
	var nodes []watchcache.Node
	for _, peer := range l.peers.Peers() {
		nodes = append(nodes, watchcache.Node{Name: peer.Node, Address: peer.Address, Zone: peer.Zone, Capacity: peer.Capacity})
	}
	return nodes
}

// sinceHeartbeat returns the time since the last heartbeat of a node.
func (l *peerLookup) sinceHeartbeat(node string) time.Duration {
	peer, _ := l.peers.Get(node)
	return time.Since(peer.LastHeartbeat)
}

// address returns the peer address of a node.
func (l *peerLookup) address(node string) (address string, known bool) {
	peer, known := l.peers.Get(node)
	return peer.Address, known
}

// process returns the peer address of a node and the incarnation that sent its last
// heartbeat.
func (l *peerLookup) process(node string) (address string, incarnation uint64, known bool) {
	peer, known := l.peers.Get(node)
	return peer.Address, peer.Incarnation, known
}

// regionAt returns the region of the node at an address, "" if unknown.
func (l *peerLookup) regionAt(address string) string {
	return l.directory.RegionOf(l.peers.ZoneAt(address))
}
