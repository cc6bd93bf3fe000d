package instance

import (
	"context"
	"time"

	"github.com/pathtally/pathtally/internal/callers/exchange"
	"github.com/pathtally/pathtally/internal/cluster/peering"
	"github.com/pathtally/pathtally/internal/replicas/directory"
	"github.com/pathtally/pathtally/internal/store/objectstore"
)

const (
	// connectionFraction is the fraction of a service's connections that the nodes use
	// together; the rest is left for health checks and for nodes that this node does not
	// know.
	connectionFraction = 0.8
	// minConnectionsPerSlot is the number of connections per slot of a replica that a node
	// may open even if its share is smaller. The few nodes that use a replica at the same
	// time would otherwise open new connections continually.
	minConnectionsPerSlot = 3
	// minLimitsInterval is the minimum time between two updates of the limits.
	minLimitsInterval = time.Second
	// unlimitedConnections stands for no limit.
	unlimitedConnections = 1 << 20
	// maxIdleConnections bounds the idle connections to one replica.
	maxIdleConnections = 32
)

// connectionLimiter updates the limits on connections to replicas. Connections to replicas
// that are no longer listed are closed.
type connectionLimiter struct {
	directory *directory.Table
	peers     *peering.Table
	pool      *exchange.Pool
}

// run updates the limits until the context ends. A change takes effect at once, or
// minLimitsInterval after the previous one. Until then connections to a new replica are not
// kept idle.
func (l *connectionLimiter) run(ctx context.Context) {
	for {
		changed := l.directory.Changed()
		// A starting node knows no replicas: limits would close the connections that it
		// opens.
		if view := l.directory.View(); view.Configuration != nil && len(view.Replicas) > 0 {
			l.pool.SetLimits(connectionLimits(view, len(l.peers.NodeNames())))
			objectstore.Sleep(ctx, minLimitsInterval)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// connectionLimits divides the connections that each replica accepts among the nodes.
func connectionLimits(view *directory.View, nodes int) map[string]exchange.ConnectionLimits {
	limits := make(map[string]exchange.ConnectionLimits, len(view.Replicas))
	for _, replica := range view.Replicas {
		limit := 0
		if view.Configuration != nil {
			limit = view.Configuration.Services[replica.Service].MaxConnections
		}
		if limit <= 0 {
			// The service has no limit.
			limits[replica.Address] = exchange.ConnectionLimits{Open: unlimitedConnections, Idle: maxIdleConnections}
			continue
		}
		share := int(connectionFraction * float64(limit) / float64(max(1, nodes)))
		open := min(limit, max(share, minConnectionsPerSlot*max(1, replica.Slots)))
		limits[replica.Address] = exchange.ConnectionLimits{Open: open, Idle: min(open, maxIdleConnections)}
	}
	return limits
}
