package peering

import (
	"slices"
	"strings"
)

// Get returns a peer by its node name.
func (t *Table) Get(node string) (Peer, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	peer := t.peers[node]
	if peer == nil {
		return Peer{}, false
	}
	return *peer, true
}

// ZoneAt returns the zone of the peer at an address, "" if it is not known.
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

// Peers returns all known peers in no particular order.
func (t *Table) Peers() []Peer {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	peers := make([]Peer, 0, len(t.peers))
	for _, peer := range t.peers {
		peers = append(peers, *peer)
	}
	return peers
}

// NodeNames returns the sorted names of all known nodes, including this one.
func (t *Table) NodeNames() []string {
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

// Capacities returns the CPU capacity of each known node, including this one, in
// millicores; 0 for unknown.
func (t *Table) Capacities() map[string]uint32 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	capacities := map[string]uint32{t.config.Node: t.config.Capacity}
	for node, peer := range t.peers {
		capacities[node] = peer.Capacity
	}
	return capacities
}

// MembershipVersion returns a counter that increases with each change of the set of nodes
// or of their zones. Callers cache what they derive from these until it changes.
func (t *Table) MembershipVersion() uint64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.membershipVersion
}
