package weightorders

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/pathtally/pathtally/internal/wire"
)

const (
	// dutyName identifies this duty to the lease.
	dutyName = "weight-orders"
	// pollInterval is the time between steps while loads are pending or running, and
	// idleInterval the time otherwise. A change of the directory ends either early.
	pollInterval = 100 * time.Millisecond
	idleInterval = 10 * time.Second
	// nonCandidateInterval is the minimum time between steps of a node that is not a
	// candidate for the lease. It becomes active only when all candidates have failed.
	nonCandidateInterval = 2 * time.Second
)

// Coordinator orders loads of weights while its node holds the lease. It is safe for
// concurrent use.
type Coordinator struct {
	config Config
	loads  prometheus.Counter

	mutex sync.Mutex
	// versions are the versions that replicas were observed to have, by replica and model.
	// They may be newer than those in the directory.
	versions map[string]map[string]int64
	// loading holds the running loads, by replica.
	loading map[string]wire.ReplicaVersion
	// retryAt is the end of the backoff of each replica whose last load failed.
	retryAt map[string]time.Time
	// announced are the finished changes that heartbeats repeat, oldest first.
	announced []wire.ReplicaVersion
	wake      chan struct{}
	// plannedDemand is the demand that the current homes are based on. Only the goroutine
	// of Run uses it.
	plannedDemand Demand
	// homeCache caches the homes of the models, by service. Only the goroutine of Run uses
	// it.
	homeCache map[string]*cachedHomes
	// speeds are the speeds of the replicas. Only the goroutine of Run uses them.
	speeds speedInputs
	// choices counts the loads by the reason for their choice, and choiceLoggedAt is when a
	// choice was logged last. Only the goroutine of Run uses the latter.
	choices        *prometheus.CounterVec
	choiceLoggedAt time.Time
}

// NewCoordinator returns a Coordinator that orders nothing before Run is called.
func NewCoordinator(config Config) *Coordinator {
	loads := prometheus.NewCounter(prometheus.CounterOpts{Name: "pathtally_weight_loads_total", Help: "Loads of weights ordered by this node."})
	choices := prometheus.NewCounterVec(prometheus.CounterOpts{Name: "pathtally_weight_load_choices_total", Help: "Loads of weights chosen by this node, by reason."}, []string{"reason"})
	config.Registry.MustRegister(loads, choices)
	return &Coordinator{
		config: config, loads: loads, choices: choices,
		versions: map[string]map[string]int64{}, loading: map[string]wire.ReplicaVersion{}, retryAt: map[string]time.Time{},
		homeCache: map[string]*cachedHomes{}, wake: make(chan struct{}, 1),
	}
}

// Run orders loads until the context is done.
func (c *Coordinator) Run(ctx context.Context) {
	for ctx.Err() == nil {
		changed := c.config.Directory.Changed()
		pause := c.step(ctx)
		if !c.config.Elector.IsCandidate() {
			// Only candidates have to respond to changes immediately. The later this
			// node's turn to take over, the less often it looks for work.
			changed, pause = nil, max(pause, nonCandidateInterval, c.config.Elector.RankDelay()/2)
		}
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
		case <-changed:
		case <-c.wake:
		case <-c.config.Elector.Available():
		case <-timer.C:
		}
		timer.Stop()
	}
}

// step starts the loads that are due, and returns the time until the next step.
func (c *Coordinator) step(ctx context.Context) time.Duration {
	view := c.config.Directory.View()
	c.pruneReplicas(view.Replicas)
	demand := c.currentDemand()
	c.sampleSpeeds(view, demand, time.Now())
	pending := c.pendingTasks(view, demand)
	pending = slices.DeleteFunc(pending, c.isBlocked)
	if len(pending) == 0 {
		c.config.Elector.MarkIdle(dutyName)
		if c.runningLoads() > 0 {
			return pollInterval
		}
		return idleInterval
	}
	if ready, retryAfter := c.config.Elector.EnsureHeld(ctx, dutyName); !ready {
		return retryAfter
	}
	c.startLoads(ctx, pending, maxConcurrentLoads(countEngineReplicas(view)))
	return pollInterval
}

// currentDemand returns the demand that homes are based on. It changes only when the
// estimated demand differs enough.
func (c *Coordinator) currentDemand() Demand {
	if demand := c.config.Demand(); demand.differsFrom(c.plannedDemand) {
		c.plannedDemand = demand
	}
	return c.plannedDemand
}

// wakeUp makes Run take the next step immediately.
func (c *Coordinator) wakeUp() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}
