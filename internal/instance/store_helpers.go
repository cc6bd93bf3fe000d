package instance

import (
	"cmp"
	"slices"

	"github.com/pathtally/pathtally/internal/cluster/peering"
	"github.com/pathtally/pathtally/internal/cluster/rendezvous"
)

// maxStoreHelpers bounds the nodes that large calls to the store are offered to.
const maxStoreHelpers = 6

// storeHelpers lists the addresses of nodes that may make large calls to the store for
// this node: those of the own zone first, then of the own region. Each node ranks them in
// another order, so that several that the store rejects use different ones.
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

// distance is how far a zone is from this node: 0 for the own one, 1 for others of the
// own region, 2 beyond it.
func (l *peerLookup) distance(zone string) int {
	switch {
	case zone == l.settings.Zone:
		return 0
	case l.settings.Region != "" && l.settings.Regions[zone] == l.settings.Region:
		return 1
	}
	return 2
}
