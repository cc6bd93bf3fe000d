package instance

import (
	"context"

	"github.com/pathtally/pathtally/internal/callers/quarantine"
)

// newQuarantine returns what keeps requests that end replicas from further ones.
func (i *Instance) newQuarantine(ctx context.Context) *quarantine.Service {
	return quarantine.NewService(ctx, quarantine.Config{
		Node: i.settings.Node, Span: i.settings.Quarantine.Std(), Prober: i.pool, Store: i.store, Peers: i.transport, Logger: i.logger,
		Registry: i.registry, Clock: i.clock, Nodes: i.peers.Nodes, Address: i.peerAddress,
	})
}

// peerAddress tells where another node listens.
func (i *Instance) peerAddress(node string) (address string, known bool) {
	peer, known := i.peers.Get(node)
	return peer.Address, known
}
