package quarantine

import (
	"context"
	"sync"
	"time"

	"github.com/pathtally/pathtally/internal/callers/exchange"
	"github.com/pathtally/pathtally/internal/replicas/routing"
)

const (
	// probeTime bounds the new connection that tells whether a replica has ended: a
	// process that has ended is refused within a round trip.
	probeTimeout = 300 * time.Millisecond
	// endSpacing is the least time between two ends of one replica, which has to start
	// and to be listed in between. Runs that break closer together were cut off by
	// the same end.
	minEndInterval = 2 * time.Second
)

// Prober tells whether anybody listens at a replica's address.
type Prober interface {
	Probe(ctx context.Context, address string) exchange.Liveness
}

// endCheck finds out whether replicas have ended, with one new connection for all the
// runs that an end has cut off. It is safe for use by many goroutines.
type endCheck struct {
	prober Prober

	mutex  sync.Mutex
	probes map[string]*probe
}

// probe is one look at a replica.
type probe struct {
	done chan struct{}
	// found is what it brought, once done is closed.
	found exchange.Liveness
}

func newEndCheck(prober Prober) *endCheck {
	return &endCheck{prober: prober, probes: map[string]*probe{}}
}

// look tells whether a replica lives, of which a run has just broken.
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

// forget has the next broken run of a replica looked at anew.
func (c *endCheck) dropProbe(replica string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.probes, replica)
}
