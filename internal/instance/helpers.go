package instance

import (
	"cmp"
	"slices"

	"github.com/pathtally/pathtally/internal/cluster/peering"
	"github.com/pathtally/pathtally/internal/cluster/rendezvous"
)

// helpersListed bounds the nodes that large calls to the store are offered to.
const helpersListed = 6

// helpers lists the addresses of nodes that may carry this node's large calls to the
// store: those of the own zone first, then of the own region. Each node ranks them in
// another order, so that several that the store turns away use different ones.
func (i *Instance) helpers() []string {
	peers := i.peers.Peers()
	self := rendezvous.Hash(i.settings.Node)
	weight := func(peer *peering.Peer) uint64 { return rendezvous.Weight(self, rendezvous.Hash(peer.Node)) }
	slices.SortFunc(peers, func(a, b peering.Peer) int {
		return cmp.Or(i.distance(a.Zone)-i.distance(b.Zone), cmp.Compare(weight(&b), weight(&a)))
	})
	addresses := make([]string, 0, helpersListed)
	for _, peer := range peers[:min(len(peers), helpersListed)] {
		addresses = append(addresses, peer.Address)
	}
	return addresses
}

// distance is how far a zone is from this node: 0 for the own one, 1 for others of the
// own region, 2 beyond it.
func (i *Instance) distance(zone string) int {
	switch {
	case zone == i.settings.Zone:
		return 0
	case i.settings.Region != "" && i.settings.Regions[zone] == i.settings.Region:
		return 1
	}
	return 2
}
