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
func (c *components) newUsage(platform usage.Platform) *usage.Service {
	return usage.NewService(usage.Config{
		Node: c.self.Node, Incarnation: c.self.Incarnation,
		Window: durationOr(c.settings.UsageWindow.Std(), defaultUsageWindow), ReportDeadline: durationOr(c.settings.UsageLate.Std(), defaultUsageLate),
		Elector: c.elector, Store: c.store, Platform: platform, Peers: c.transport, Logger: c.logger, Registry: c.registry,
		Nodes: c.peers.NodeNames, Peer: c.lookup.process, HeartbeatSoon: c.peers.ScheduleHeartbeat,
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
