package instance

import (
	"cmp"
	"slices"

	"github.com/pathtally/pathtally/internal/cluster/peering"
	"github.com/pathtally/pathtally/internal/cluster/rendezvous"
)

// maxStoreHelpers bounds the number of nodes to which large store calls are offered.
const maxStoreHelpers = 6

// storeHelpers returns the addresses of nodes that may make large store calls for this
// node: those of its own zone first, then those of its own region, then all others. The
// order within each group depends on the node, so that nodes rejected by the store use
// different helpers.
func (l *peerLookup) storeHelpers() []string {
	peers := l.peers.Peers()
	self := rendezvous.Hash(l.settings.Node)
	weight := func(peer *peering.Peer) uint64 { return rendezvous.Weight(self, rendezvous.Hash(peer.Node)) }
	slices.SortFunc(peers, func(a, b peering.Peer) int {
		return cmp.Or(l.distance(a.Zone)-l.distance(b.Zone), cmp.Compare(weight(&b), weight(&a)))
	})
	addresses := make([]string, 0, maxStoreHelpers)
	for _, peer := range peers[:min(len(peers), maxStoreHelpers)] {
		addresses = append(addresses, peer.Address)
	}
	return addresses
}

// distance ranks a zone by its distance from this node: 0 for its own zone, 1 for others of
// its own region, 2 for those of other regions.
func (l *peerLookup) distance(zone string) int {
	switch {
	case zone == l.settings.Zone:
		return 0
	case l.settings.Region != "" && l.settings.Regions[zone] == l.settings.Region:
		return 1
	}
	return 2
}
