package instance

import (
	"time"

	"github.com/pathtally/pathtally/internal/duties/usage"
)

const (
	// defaultUsageWindow and defaultUsageLate are used if the settings name no usageWindow
	// or usageLate. The platform accepts reports of windows of 5 s.
	defaultUsageWindow = 5 * time.Second
	defaultUsageLate   = 10 * time.Second
)

// newUsage returns the service that counts and reports usage.
func (p *components) newUsage(platform usage.Platform) *usage.Service {
	return usage.NewService(usage.Config{
		Node: p.self.Node, Incarnation: p.self.Incarnation,
		Window: durationOr(p.settings.UsageWindow.Std(), defaultUsageWindow), ReportDeadline: durationOr(p.settings.UsageLate.Std(), defaultUsageLate),
		Elector: p.elector, Store: p.store, Platform: platform, Peers: p.transport, Logger: p.logger, Registry: p.registry,
		Nodes: p.peers.NodeNames, Peer: p.lookup.process, HeartbeatSoon: p.peers.ScheduleHeartbeat,
	})
}

// usageMeter counts requests if the node reports usage. The components are assembled before
// the first request.
type usageMeter struct {
	components *components
}

// CountRequest implements forward.Meter.
func (m usageMeter) CountRequest(tenant string, at time.Time) {
	if m.components.usage != nil {
		m.components.usage.CountRequest(tenant, at)
	}
}
