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
	// requestInterval is the least time between two requests for permits, a part of Span
	// in which a warming replica takes about one request.
	requestInterval = 120 * time.Millisecond
	// requestTimeout bounds the wait for an answer: a later one leaves little of Span.
	requestTimeout = 350 * time.Millisecond
	// maxWanted is how many permits for a replica are requested at a time: one more than
	// a node uses in requestInterval, so that something is left for other nodes.
	maxWanted = 2
)

// ClientConfig is what a Client needs.
type ClientConfig struct {
	// Ask requests permits of the allotter and returns those allotted and how long they may
	// be used, counted from the call. That none are allotted is no error.
	Ask func(ctx context.Context, wanted []wire.ReplicaCount) ([]wire.ReplicaCount, time.Duration, error)
	// Clock is the boot-time clock.
	Clock func() time.Time
	// Allotted is called when this node has got permits.
	Allotted func()
	Logger   klog.Logger
	Registry prometheus.Registerer
}

// Client closes the gates of the replicas that are warming up, and requests permits while
// requests are kept back. It is safe for use by many goroutines.
type Client struct {
	config  ClientConfig
	metrics *clientMetrics
	wanted  chan struct{}
	// failures counts the requests for permits in a row without an answer, of which the
	// first is logged. It belongs to Run.
	failures int

	mutex sync.Mutex
	// gates are the closed gates by replica.
	gates map[string]*warmingGate
}

// NewClient returns a client that requests nothing before Run.
func NewClient(config ClientConfig) *Client {
	return &Client{config: config, metrics: newClientMetrics(config.Registry), wanted: make(chan struct{}, 1), gates: map[string]*warmingGate{}}
}

// wake has Run check what is wanted.
func (c *Client) wake() {
	select {
	case c.wanted <- struct{}{}:
	default:
	}
}

// Run requests permits while closed gates keep requests back, and opens the gates of
// replicas that are warm, until the context ends.
func (c *Client) Run(ctx context.Context) {
	for ctx.Err() == nil {
		timer := time.NewTimer(c.untilNextWarm())
		select {
		case <-ctx.Done():
		case <-timer.C:
			c.releaseWarm()
		case <-c.wanted:
			c.releaseWarm()
			c.ask(ctx)
			wait(ctx, requestInterval)
		}
		timer.Stop()
	}
}

// ask requests all permits that are wanted now.
func (c *Client) ask(ctx context.Context) {
	wanted := c.takeWanted()
	if len(wanted) == 0 {
		return
	}
	sent := c.config.Clock()
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	allotted, span, err := c.config.Ask(ctx, wanted)
	if err != nil {
		c.failures++
		if c.failures == 1 {
			c.config.Logger.Info("no answer about warming replicas", "replicas", len(wanted), "error", err.Error())
		}
		return
	}
	c.failures = 0
	c.addAllotments(sent, span, allotted)
}

// takeWanted returns the permits wanted now, in the order of the replicas' names, and
// resets the demand.
func (c *Client) takeWanted() []wire.ReplicaCount {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var wanted []wire.ReplicaCount
	for replica, entry := range c.gates {
		if !entry.gate.Wanted() {
			continue
		}
		demand := min(int(entry.counts.demand.Swap(0)), maxWanted) - entry.gate.PermitsLeft()
		if demand > 0 {
			wanted = append(wanted, wire.ReplicaCount{Replica: replica, Count: uint32(demand)})
			c.metrics.asked.Add(float64(demand))
		}
	}
	slices.SortFunc(wanted, func(x, y wire.ReplicaCount) int { return strings.Compare(x.Replica, y.Replica) })
	return wanted
}

// addAllotments adds the permits allotted to a request that was sent at a time. They may be
// used for a span from then, not from the answer, since the allotter counts them so.
func (c *Client) addAllotments(sent time.Time, span time.Duration, allotted []wire.ReplicaCount) {
	if len(allotted) == 0 {
		return
	}
	c.mutex.Lock()
	for _, part := range allotted {
		entry := c.gates[part.Replica]
		if entry == nil {
			continue
		}
		c.metrics.got.Add(float64(part.Count))
		entry.gate.bounds.Store(entry.gate.bounds.Load().withAllotment(newAllotment(int(part.Count), sent.Add(span))))
	}
	c.mutex.Unlock()
	c.config.Allotted()
}
