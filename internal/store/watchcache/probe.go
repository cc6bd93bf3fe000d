package watchcache

import (
	"context"
	"errors"
	"time"

	"github.com/pathtally/pathtally/internal/store/objectstore"
)

const (
	// probeInterval is the time between two probes of a node that reads the store, and
	// probeTimeout the limit of one. Together they bound how long an outage goes
	// unnoticed.
	probeInterval = 500 * time.Millisecond
	probeTimeout  = 600 * time.Millisecond
	// outageProbeInterval is the time between two probes during an outage.
	outageProbeInterval = 150 * time.Millisecond
)

// storeProbe checks whether the store answers this node, by reading one object that may
// come from an old state: the cheapest call there is.
type storeProbe struct {
	store objectstore.Store
	kind  string
	name  string
}

// answered probes the store once and reports whether it answered within probeTimeout.
func (p storeProbe) answered(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, err := p.store.Get(ctx, p.kind, p.name, objectstore.MayBeStale)
	return err == nil || errors.Is(err, objectstore.ErrNotFound)
}
