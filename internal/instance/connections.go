package instance

import (
	"context"
	"time"

	"github.com/pathtally/pathtally/internal/callers/exchange"
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
	// boundsPause is the least time between two renewals of the bounds.
	boundsPause = time.Second
)

// boundConnections keeps the bounds of the connections to replicas current,
// until the context ends. Connections to replicas that are gone are closed. A change
// is in force at once unless the one before it is as young as boundsPause: until then
// connections to a new replica do not rest.
func (i *Instance) boundConnections(ctx context.Context) {
	for {
		changed := i.directory.Changed()
		// A starting node knows no replica yet: bounds would close what it opens.
		if view := i.directory.View(); view.Configuration != nil && len(view.Replicas) > 0 {
			i.pool.SetBounds(connectionBounds(view, len(i.peers.Nodes())))
			objectstore.Sleep(ctx, boundsPause)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// connectionBounds shares what each replica accepts among the nodes.
func connectionBounds(view *directory.View, nodes int) map[string]exchange.Bound {
	bounds := make(map[string]exchange.Bound, len(view.Replicas))
	for _, replica := range view.Replicas {
		most := 0
		if view.Configuration != nil {
			most = view.Configuration.Services[replica.Service].MaxConnections
		}
		if most <= 0 {
			// The service names no bound.
			bounds[replica.Address] = exchange.Bound{Open: unboundedConnections, Idle: defaultResting}
			continue
		}
		share := int(connectionShare * float64(most) / float64(max(1, nodes)))
		bound := min(most, max(share, connectionsPerSlot*max(1, replica.Slots)))
		bounds[replica.Address] = exchange.Bound{Open: bound, Idle: min(bound, defaultResting)}
	}
	return bounds
}

const (
	// unboundedConnections stands for no bound, and defaultResting bounds the
	// connections that rest for one replica in any case.
	unboundedConnections = 1 << 20
	defaultResting       = 32
)
