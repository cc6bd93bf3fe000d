package slowstart

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/wire"
)

const (
	// requestInterval is the minimum time between two requests for permits. A warming
	// replica can serve about one request in that time.
	requestInterval = 120 * time.Millisecond
	// requestTimeout bounds the wait for a reply. Permits of a later reply would be valid
	// for little of PermitLifetime.
	requestTimeout = 350 * time.Millisecond
	// maxPermitsPerRequest is the maximum number of permits per replica in one request. It
	// is one more than a node uses in requestInterval, so that permits remain for other
	// nodes.
	maxPermitsPerRequest = 2
)

// ClientConfig holds the dependencies of a Client.
type ClientConfig struct {
	// RequestPermits requests permits from the allotter. It returns the allotted permits
	// and how long they are valid, counted from the call. An empty result is not an error.
	RequestPermits func(ctx context.Context, wanted []wire.ReplicaCount) ([]wire.ReplicaCount, time.Duration, error)
	// Clock is the boot-time clock.
	Clock func() time.Time
	// Allotted is called when this node has received permits.
	Allotted func()
	Logger   klog.Logger
	Registry prometheus.Registerer
}

// Client closes the gates of the replicas that are warming up, and requests permits while
// there is demand. It is safe for concurrent use.
type Client struct {
	config  ClientConfig
	metrics *clientMetrics
	demand  chan struct{}
	// failures counts consecutive failed requests for permits. Only the first is logged. It
	// is used only by Run.
	failures int

	mutex sync.Mutex
	// gates holds the closed gates by replica.
	gates map[string]*warmingGate
}

// NewClient returns a client. It requests permits only in Run.
func NewClient(config ClientConfig) *Client {
	return &Client{config: config, metrics: newClientMetrics(config.Registry), demand: make(chan struct{}, 1), gates: map[string]*warmingGate{}}
}

// wake makes Run check for demand. It does not block.
func (c *Client) wake() {
	select {
	case c.demand <- struct{}{}:
	default:
	}
}

// Run requests permits while closed gates have demand, and opens the gates of warm replicas,
// until the context ends.
func (c *Client) Run(ctx context.Context) {
	for ctx.Err() == nil {
		timer := time.NewTimer(c.untilNextWarm())
		select {
		case <-ctx.Done():
		case <-timer.C:
			c.openWarmGates()
		case <-c.demand:
			c.openWarmGates()
			c.requestPermits(ctx)
			wait(ctx, requestInterval)
		}
		timer.Stop()
	}
}

// requestPermits requests permits for the current demand.
func (c *Client) requestPermits(ctx context.Context) {
	wanted := c.takeDemand()
	if len(wanted) == 0 {
		return
	}
	sent := c.config.Clock()
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	allotted, lifetime, err := c.config.RequestPermits(ctx, wanted)
	if err != nil {
		c.failures++
		if c.failures == 1 {
			c.config.Logger.Info("request for slow-start permits failed", "replicas", len(wanted), "error", err.Error())
		}
		return
	}
	c.failures = 0
	c.addAllotments(sent, lifetime, allotted)
}

// takeDemand returns the permits to request, sorted by replica, and resets the demand.
func (c *Client) takeDemand() []wire.ReplicaCount {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var wanted []wire.ReplicaCount
	for replica, entry := range c.gates {
		if !entry.gate.HasDemand() {
			continue
		}
		demand := min(int(entry.counts.demand.Swap(0)), maxPermitsPerRequest) - entry.gate.PermitsLeft()
		if demand > 0 {
			wanted = append(wanted, wire.ReplicaCount{Replica: replica, Count: uint32(demand)})
			c.metrics.requested.Add(float64(demand))
		}
	}
	slices.SortFunc(wanted, func(x, y wire.ReplicaCount) int { return strings.Compare(x.Replica, y.Replica) })
	return wanted
}

// addAllotments adds the permits allotted for a request that was sent at the given time. They
// are valid for lifetime from that time, not from the reply, as the allotter's ledger assumes.
func (c *Client) addAllotments(sent time.Time, lifetime time.Duration, allotted []wire.ReplicaCount) {
	if len(allotted) == 0 {
		return
	}
	c.mutex.Lock()
	for _, part := range allotted {
		entry := c.gates[part.Replica]
		if entry == nil {
			continue
		}
		c.metrics.received.Add(float64(part.Count))
		entry.gate.closed.Store(entry.gate.closed.Load().withAllotment(newAllotment(int(part.Count), sent.Add(lifetime))))
	}
	c.mutex.Unlock()
	c.config.Allotted()
}
