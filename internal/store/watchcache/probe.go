package watchcache

import (
	"context"
	"errors"
	"time"

	"github.com/pathtally/pathtally/internal/store/objectstore"
)

const (
	// probeInterval is the time between probes by a node that reads the store, and
	// probeTimeout the timeout of each. Together they bound the time to detect an outage.
	probeInterval = 500 * time.Millisecond
	probeTimeout  = 600 * time.Millisecond
	// outageProbeInterval is the time between probes during an outage.
	outageProbeInterval = 150 * time.Millisecond
)

// storeProbe checks whether the store is available to this node. It reads a single object
// and accepts a stale one, which is the cheapest call to the store.
type storeProbe struct {
	store objectstore.Store
	kind  string
	name  string
}

// succeeds probes the store once and reports whether the probe succeeded within
// probeTimeout.
func (p storeProbe) succeeds(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, err := p.store.Get(ctx, p.kind, p.name, objectstore.MayBeStale)
	return err == nil || errors.Is(err, objectstore.ErrNotFound)
}
