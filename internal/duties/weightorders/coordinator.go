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
	// dutyName names weight orders among the duties of the lease.
	dutyName = "weight-orders"
	// pollInterval is the time between steps while there is work, idleInterval without
	// work; a change of the directory ends either.
	pollInterval = 100 * time.Millisecond
	idleInterval = 10 * time.Second
	// nonCandidateInterval is the least time between steps of nodes that are no
	// candidates for the lease. They act only once all candidates are gone.
	nonCandidateInterval = 2 * time.Second
)

// Coordinator gives orders while it holds the lease. It is safe for use by
// many goroutines.
type Coordinator struct {
	config Config
	loads  prometheus.Counter

	mutex sync.Mutex
	// versions are those that replicas were seen to have, newer than what the
	// directory lists, by replica and model.
	versions map[string]map[string]int64
	// loading are the loads under way, by replica.
	loading map[string]wire.ReplicaVersion
	// retryAt is until when a replica gets no order, since its last load failed.
	retryAt map[string]time.Time
	// announced are the changes that heartbeats repeat, oldest first.
	announced []wire.ReplicaVersion
	wake      chan struct{}
	// plannedDemand is the demand by which homes are shared out. It belongs to Run.
	plannedDemand Demand
	// homePlans are the homes of the models of each service. They belong to Run.
	homePlans map[string]*homePlan
}

// NewCoordinator returns a coordinator that has not started.
func NewCoordinator(config Config) *Coordinator {
	loads := prometheus.NewCounter(prometheus.CounterOpts{Name: "pathtally_weight_loads_total", Help: "Loads of weights ordered by this node."})
	config.Registry.MustRegister(loads)
	return &Coordinator{
		config: config, loads: loads,
		versions: map[string]map[string]int64{}, loading: map[string]wire.ReplicaVersion{}, retryAt: map[string]time.Time{},
		homePlans: map[string]*homePlan{}, wake: make(chan struct{}, 1),
	}
}

// Run works until the context ends.
func (c *Coordinator) Run(ctx context.Context) {
	for ctx.Err() == nil {
		changed := c.config.Directory.Changed()
		pause := c.step(ctx)
		if !c.config.Keeper.IsCandidate() {
			// Changes are for the candidates to see at once. The longer they all go
			// before this node, the less often it looks for work.
			changed, pause = nil, max(pause, nonCandidateInterval, c.config.Keeper.RankDelay()/2)
		}
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
		case <-changed:
		case <-c.wake:
		case <-c.config.Keeper.Woken():
		case <-timer.C:
		}
		timer.Stop()
	}
}

// step gives the orders that are due and returns the time until the next step.
func (c *Coordinator) step(ctx context.Context) time.Duration {
	view := c.config.Directory.View()
	c.forgetGone(view.Replicas)
	open := c.openTasks(view, c.currentDemand())
	open = slices.DeleteFunc(open, c.isUnderWay)
	if len(open) == 0 {
		c.config.Keeper.Idle(dutyName)
		if c.loadsUnderWay() > 0 {
			return pollInterval
		}
		return idleInterval
	}
	if ready, again := c.config.Keeper.Ready(ctx, dutyName); !ready {
		return again
	}
	c.startLoads(ctx, open, loadsAtOnce(engineReplicas(view)))
	return pollInterval
}

// currentDemand returns the demand by which homes are shared out: the one known now,
// but for small differences.
func (c *Coordinator) currentDemand() Demand {
	if demand := c.config.Demand(); demand.differsFrom(c.plannedDemand) {
		c.plannedDemand = demand
	}
	return c.plannedDemand
}

// wakeUp has the next step begin now.
func (c *Coordinator) wakeUp() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}
