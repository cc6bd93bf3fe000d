package quarantine

import (
	"context"
	"sync"
	"time"

	"github.com/pathtally/pathtally/internal/callers/exchange"
	"github.com/pathtally/pathtally/internal/replicas/routing"
)

// probeTimeout bounds the new connection by which the end of a replica is found: where
// the process has ended, it is refused within a round trip.
const probeTimeout = 300 * time.Millisecond

// Prober checks whether a process listens at a replica's address.
type Prober interface {
	Probe(ctx context.Context, address string) exchange.Liveness
}

// endCheck checks whether replicas have ended, with one new connection for all the runs
// that an end has cut off. It is safe for use by many goroutines.
type endCheck struct {
	prober Prober

	mutex  sync.Mutex
	probes map[string]*probe
}

// probe is one check of a replica.
type probe struct {
	done chan struct{}
	// found may be read once done is closed.
	found exchange.Liveness
}

func newEndCheck(prober Prober) *endCheck {
	return &endCheck{prober: prober, probes: map[string]*probe{}}
}

// check returns whether a replica lives whose run has just broken. It waits for a probe
// that is under way, and takes the result of one that found the end a short time ago.
func (c *endCheck) check(ctx context.Context, endpoint *routing.Endpoint) exchange.Liveness {
	c.mutex.Lock()
	current := c.probes[endpoint.Name]
	if current != nil {
		c.mutex.Unlock()
		<-current.done
		return current.found
	}
	started := &probe{done: make(chan struct{})}
	c.probes[endpoint.Name] = started
	c.mutex.Unlock()

	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	started.found = c.prober.Probe(ctx, endpoint.Address)
	close(started.done)
	if started.found == exchange.Ended {
		time.AfterFunc(minEndInterval, func() { c.dropProbe(endpoint.Name) })
	} else {
		c.dropProbe(endpoint.Name)
	}
	return started.found
}

// dropProbe has the next broken run of a replica checked anew.
func (c *endCheck) dropProbe(replica string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.probes, replica)
}
