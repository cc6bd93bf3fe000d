package quarantine

import (
	"context"
	"sync"
	"time"

	"github.com/pathtally/pathtally/internal/callers/exchange"
	"github.com/pathtally/pathtally/internal/replicas/routing"
)

// probeTimeout is the timeout of the connection that checks a replica. If the replica has
// crashed, the connection is refused within a round trip.
const probeTimeout = 300 * time.Millisecond

// Prober checks whether a process listens at a replica's address.
type Prober interface {
	Probe(ctx context.Context, address string) exchange.Liveness
}

// crashDetector checks whether replicas have crashed. All runs that one crash broke share one
// probe. It is safe for concurrent use.
type crashDetector struct {
	prober Prober

	mutex  sync.Mutex
	probes map[string]*probe
}

// probe is one check of a replica.
type probe struct {
	done chan struct{}
	// liveness may be read once done is closed.
	liveness exchange.Liveness
}

func newCrashDetector(prober Prober) *crashDetector {
	return &crashDetector{prober: prober, probes: map[string]*probe{}}
}

// check returns the liveness of a replica after one of its runs broke. It waits for a probe
// in progress, and reuses the result of a probe that found a crash within minCrashInterval.
func (c *crashDetector) check(ctx context.Context, endpoint *routing.Endpoint) exchange.Liveness {
	c.mutex.Lock()
	running := c.probes[endpoint.Name]
	if running != nil {
		c.mutex.Unlock()
		<-running.done
		return running.liveness
	}
	started := &probe{done: make(chan struct{})}
	c.probes[endpoint.Name] = started
	c.mutex.Unlock()

	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	started.liveness = c.prober.Probe(ctx, endpoint.Address)
	close(started.done)
	if started.liveness == exchange.Dead {
		time.AfterFunc(minCrashInterval, func() { c.dropProbe(endpoint.Name) })
	} else {
		c.dropProbe(endpoint.Name)
	}
	return started.liveness
}

// dropProbe makes the next check of a replica start a new probe.
func (c *crashDetector) dropProbe(replica string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.probes, replica)
}
