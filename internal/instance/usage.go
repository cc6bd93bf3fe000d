package instance

import (
	"time"

	"github.com/pathtally/pathtally/internal/duties/usage"
	"github.com/pathtally/pathtally/internal/jobs/journal"
)

const (
	// defaultUsageWindow and defaultUsageLate hold where the settings (usageWindow,
	// usageLate) name no times. The platform takes reports of windows of 5 s.
	defaultUsageWindow = 5 * time.Second
	defaultUsageLate   = 10 * time.Second
)

// newUsage returns the service that counts and reports usage.
func (i *Instance) newUsage(self journal.Owner, platform usage.Platform) *usage.Service {
	return usage.NewService(usage.Config{
		Node: self.Node, Incarnation: self.Incarnation,
		Window: spanOr(i.settings.UsageWindow.Std(), defaultUsageWindow), Late: spanOr(i.settings.UsageLate.Std(), defaultUsageLate),
		Keeper: i.duty, Store: i.store, Platform: platform, Peers: i.transport, Logger: i.logger, Registry: i.registry,
		Nodes: i.peers.Nodes, Peer: i.peerProcess, Changed: i.peers.HeartbeatSoon,
	})
}

// peerProcess tells where a node is, and which of its processes was heard last.
func (i *Instance) peerProcess(node string) (address string, incarnation uint64, known bool) {
	peer, known := i.peers.Get(node)
	return peer.Address, peer.Incarnation, known
}

// usageMeter counts the requests of a node that reports usage.
type usageMeter Instance

// Began implements forward.Meter.
func (m *usageMeter) Began(tenant string, at time.Time) {
	if m.usage != nil {
		m.usage.Began(tenant, at)
	}
}
