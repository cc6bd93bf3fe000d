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
	// connectionShare is the part of a service's connections, between 0 and 1,
	// that the nodes use together; the rest is for replicas' health checks and for nodes that
	// are not known here.
	connectionShare = 0.8
	// connectionsPerSlot is how many connections for each slot of a replica a
	// node may have whatever its share is: few nodes use one replica at a time,
	// and those that do would open new ones over and over.
	connectionsPerSlot = 3
	// minBoundsInterval is the least time between two changes of the bounds.
	minBoundsInterval = time.Second
	// unboundedConnections stands for no bound, and maxResting bounds the connections
	// that rest for one replica in any case.
	unboundedConnections = 1 << 20
	maxResting           = 32
)

// connectionBounder keeps the bounds of the connections to replicas current. Connections
// to replicas that are gone are closed.
type connectionBounder struct {
	directory *directory.Table
	peers     *peering.Table
	pool      *exchange.Pool
}

// run works until the context ends. A change is in force at once unless the one before it
// is younger than minBoundsInterval: until then connections to a new replica do not rest.
func (b *connectionBounder) run(ctx context.Context) {
	for {
		changed := b.directory.Changed()
		// A starting node knows no replica yet: bounds would close what it opens.
		if view := b.directory.View(); view.Configuration != nil && len(view.Replicas) > 0 {
			b.pool.SetLimits(connectionBounds(view, len(b.peers.NodeNames())))
			objectstore.Sleep(ctx, minBoundsInterval)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// connectionBounds shares what each replica accepts among the nodes.
func connectionBounds(view *directory.View, nodes int) map[string]exchange.ConnectionLimits {
	bounds := make(map[string]exchange.ConnectionLimits, len(view.Replicas))
	for _, replica := range view.Replicas {
		most := 0
		if view.Configuration != nil {
			most = view.Configuration.Services[replica.Service].MaxConnections
		}
		if most <= 0 {
			// The service names no bound.
			bounds[replica.Address] = exchange.ConnectionLimits{Open: unboundedConnections, Idle: maxResting}
			continue
		}
		share := int(connectionShare * float64(most) / float64(max(1, nodes)))
		bound := min(most, max(share, connectionsPerSlot*max(1, replica.Slots)))
		bounds[replica.Address] = exchange.ConnectionLimits{Open: bound, Idle: min(bound, maxResting)}
	}
	return bounds
}
