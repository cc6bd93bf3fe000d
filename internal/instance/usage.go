package instance

import (
	"time"

	"github.com/pathtally/pathtally/internal/duties/usage"
)

const (
	// defaultUsageWindow and defaultUsageLate hold where the settings (usageWindow,
	// usageLate) name no times. The platform takes reports of windows of 5 s.
	defaultUsageWindow = 5 * time.Second
	defaultUsageLate   = 10 * time.Second
)

// newUsage returns the service that counts and reports usage.
func (p *parts) newUsage(platform usage.Platform) *usage.Service {
	return usage.NewService(usage.Config{
		Node: p.self.Node, Incarnation: p.self.Incarnation,
		Window: durationOr(p.settings.UsageWindow.Std(), defaultUsageWindow), ReportDeadline: durationOr(p.settings.UsageLate.Std(), defaultUsageLate),
		Elector: p.keeper, Store: p.store, Platform: platform, Peers: p.transport, Logger: p.logger, Registry: p.registry,
		Nodes: p.peers.NodeNames, Peer: p.lookup.process, HeartbeatSoon: p.peers.ScheduleHeartbeat,
	})
}

// usageMeter counts the requests of a node that reports usage. The parts are assembled by
// the first request.
type usageMeter struct {
	parts *parts
}

// CountRequest implements forward.Meter.
func (m usageMeter) CountRequest(tenant string, at time.Time) {
	if m.parts.usage != nil {
		m.parts.usage.CountRequest(tenant, at)
	}
}
