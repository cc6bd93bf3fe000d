package weightorders

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/duties/lease"
	"github.com/pathtally/pathtally/internal/replicas/directory"
	"github.com/pathtally/pathtally/internal/wire"
)

const (
	// loadDivisor gives the part of the replicas that load at a time, one in so
	// many, and leastLoads how many may in any case: more take longer each. At
	// two, 35 replicas of three models fell behind, at seven they did not
	// (docs/PLATFORM.md, "Orders").
	loadDivisor = 5
	leastLoads  = 2
	// lookPeriod is the time between looks while there is work, and outsiderPause the
	// least of nodes that are no candidates for the lease. They act once all
	// candidates are gone, after patience of seconds, and look the more seldom the
	// longer that is.
	lookPeriod    = 100 * time.Millisecond
	outsiderPause = 2 * time.Second
	// reportPause is the time between questions to a replica that loads. Asking
	// each 40 ms made loads no shorter (docs/DECISIONS.md).
	reportPause = 120 * time.Millisecond
	// loadTime is about what a load takes, and loadLimit when it is given up.
	loadTime  = 800 * time.Millisecond
	loadLimit = 6 * time.Second
	// callTime bounds one call to a replica.
	callTime = 900 * time.Millisecond
	// failPause is how long a replica is left alone after a failed order.
	failPause = 500 * time.Millisecond
)

// Config is what a Coordinator needs.
type Config struct {
	Keeper    *lease.Keeper
	Directory *directory.Table
	Replicas  Replicas
	Logger    klog.Logger
	Registry  prometheus.Registerer
	// Load is how many items run at a replica.
	Load func(replica string) int
	// Tolerance is by how many versions the batch jobs of a model let the
	// weights be behind.
	Tolerance func(model string) int64
	// Demand is how much work the jobs of each model have lately brought.
	Demand func() Demand
	// OnChange is told what becomes of replicas; Changed tells the peers that
	// have to do with it.
	OnChange func(change wire.ReplicaVersion)
	Changed  func()
}

// Coordinator gives orders while it holds the lease. It is safe for use by
// many goroutines.
type Coordinator struct {
	config Config
	loads  prometheus.Counter

	mutex sync.Mutex
	// versions are those that replicas were seen to have, newer than what the
	// directory lists.
	versions map[string]map[string]int64
	loading  map[string]wire.ReplicaVersion
	// leftAlone is until when a replica gets no order.
	leftAlone map[string]time.Time
	told      []wire.ReplicaVersion
	wake      chan struct{}
	// planned is the demand that replicas are shared out by. It belongs to Run.
	planned Demand
	// homePlans are the homes of the models of each service. They belong to Run.
	homePlans map[string]*homePlan
}

// NewCoordinator returns a coordinator that has not started.
func NewCoordinator(config Config) *Coordinator {
	loads := prometheus.NewCounter(prometheus.CounterOpts{Name: "pathtally_weight_loads_total", Help: "Loads of weights ordered by this node."})
	config.Registry.MustRegister(loads)
	return &Coordinator{
		config: config, loads: loads,
		versions: map[string]map[string]int64{}, loading: map[string]wire.ReplicaVersion{}, leftAlone: map[string]time.Time{},
		homePlans: map[string]*homePlan{}, wake: make(chan struct{}, 1),
	}
}

// Run works until the context ends.
func (c *Coordinator) Run(ctx context.Context) {
	for ctx.Err() == nil {
		changed := c.config.Directory.Changed()
		pause := c.step(ctx)
		if !c.config.Keeper.IsCandidate() {
			// Whether there is work is for the candidates to see at once.
			changed, pause = nil, max(pause, outsiderPause, c.config.Keeper.RankDelay()/2)
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

// dutyName names the giving of orders among the duties of the lease.
const dutyName = "weight-orders"

// idlePause is the time between looks without work; a change of the directory
// ends it.
const idlePause = 10 * time.Second

// step gives the orders that are due and returns when to look again.
func (c *Coordinator) step(ctx context.Context) time.Duration {
	view := c.config.Directory.View()
	c.forgetGone(view.Replicas)
	open := c.tasks(view, c.plannedDemand())
	open = slices.DeleteFunc(open, c.isUnderWay)
	c.mutex.Lock()
	idle := len(open) == 0 && len(c.loading) == 0
	c.mutex.Unlock()
	if len(open) == 0 {
		c.config.Keeper.Idle(dutyName)
	}
	if idle {
		return idlePause
	}
	if len(open) == 0 {
		return lookPeriod
	}
	if ready, again := c.config.Keeper.Ready(ctx, dutyName); !ready {
		return again
	}
	c.begin(ctx, open, loadsAtOnce(engineReplicas(view)))
	return lookPeriod
}

// plannedDemand is the demand that replicas are shared out by: the one known
// now, but for small differences.
func (c *Coordinator) plannedDemand() Demand {
	if demand := c.config.Demand(); demand.differsFrom(c.planned) {
		c.planned = demand
	}
	return c.planned
}

// loadsAtOnce is how many replicas of all may load at a time.
func loadsAtOnce(replicas int) int { return max(leastLoads, replicas/loadDivisor) }

func (c *Coordinator) nudge() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}
