package instance

import (
	"time"

	"github.com/pathtally/pathtally/internal/cluster/peering"
	"github.com/pathtally/pathtally/internal/replicas/directory"
	"github.com/pathtally/pathtally/internal/settings"
	"github.com/pathtally/pathtally/internal/store/watchcache"
)

// peerLookup answers questions of the other parts about the nodes known.
type peerLookup struct {
	peers     *peering.Table
	directory *directory.Table
	settings  settings.Settings
}

// storeNodes lists the nodes through which the store can be followed.
func (l *peerLookup) storeNodes() []watchcache.Node {
	var nodes []watchcache.Node
	for _, peer := range l.peers.Peers() {
		nodes = append(nodes, watchcache.Node{Name: peer.Node, Address: peer.Address, Zone: peer.Zone, Capacity: peer.Capacity})
	}
	return nodes
}

// silence returns the time since a node's last heartbeat.
func (l *peerLookup) silence(node string) time.Duration {
	peer, _ := l.peers.Get(node)
	return time.Since(peer.LastHeartbeat)
}

// address returns where a node listens for others.
func (l *peerLookup) address(node string) (address string, known bool) {
	peer, known := l.peers.Get(node)
	return peer.Address, known
}

// process returns where a node listens, and which of its processes sent the last
// heartbeat.
func (l *peerLookup) process(node string) (address string, incarnation uint64, known bool) {
	peer, known := l.peers.Get(node)
	return peer.Address, peer.Incarnation, known
}

// regionAt returns the region of the node at an address, "" if it is not known.
func (l *peerLookup) regionAt(address string) string {
	return l.directory.RegionOf(l.peers.ZoneAt(address))
}
