package weightorders

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/directory"
	"github.com/pathtally/pathtally/internal/objectstore"
	"github.com/pathtally/pathtally/internal/wire"
)

const (
	// loadPart is the part of the replicas that load at a time, and leastLoads
	// how many may in any case: more take longer each.
	loadPart   = 5
	leastLoads = 2
	// lookPeriod is the time between looks while there is work.
	lookPeriod = 100 * time.Millisecond
	// turnDelay is what each further candidate waits for those before it.
	turnDelay = 700 * time.Millisecond
	// holderPatience is for how long the last holder is waited for.
	// livePatience is added while it is heard: a holder that gets nothing done
	// is relieved in the end.
	holderPatience = 1200 * time.Millisecond
	livePatience   = 6 * time.Second
	// leaseReserve is the time that must be left of the lease for an order.
	leaseReserve = 400 * time.Millisecond
	// longestLeaseRetry bounds the time between tries to get the lease while
	// the store does not answer.
	longestLeaseRetry = time.Second
	// reportPause is the time between questions to a replica that loads.
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
	Node      string
	Nonce     string
	Term      time.Duration
	Store     objectstore.Store
	Directory *directory.Table
	Replicas  Replicas
	Logger    klog.Logger
	Registry  prometheus.Registerer
	// Nodes lists the nodes that may coordinate, and Heard when one was heard.
	Nodes func() []string
	Heard func(node string) time.Time
	// Load is how many items run at a replica.
	Load func(replica string) int
	// Tolerance is by how many versions the batch jobs of a model let the
	// weights be behind.
	Tolerance func(model string) int64
	// Demand is how much work the jobs of each model have lately brought, in any
	// unit.
	Demand func() map[string]float64
	// OnChange is told what becomes of replicas; Changed tells the peers that
	// have to do with it, and Broadcast all of them.
	OnChange  func(change wire.ReplicaVersion)
	Changed   func()
	Broadcast func()
}

// Coordinator gives orders while it holds the lease. It is safe for use by
// many goroutines.
type Coordinator struct {
	config Config
	lease  *lease
	loads  prometheus.Counter

	mutex sync.Mutex
	// versions are those that replicas were seen to have, newer than what the
	// directory lists.
	versions map[string]map[string]int64
	loading  map[string]wire.ReplicaVersion
	// leftAlone is until when a replica gets no order.
	leftAlone map[string]time.Time
	// workSince is since when there has been work that nobody has done.
	workSince time.Time
	told      []wire.ReplicaVersion
	wake      chan struct{}
	// leaseRetry is the time before the next try to get the lease after one
	// that failed. It belongs to Run.
	leaseRetry time.Duration
	// planned is the demand that replicas are shared out by. It belongs to Run.
	planned map[string]float64
	// awaited is the revision of the lease that was last told to be waited for.
	// It belongs to Run.
	awaited uint64
}

// NewCoordinator returns a coordinator that has not started.
func NewCoordinator(config Config) *Coordinator {
	if config.Term <= 0 {
		config.Term = defaultTerm
	}
	loads := prometheus.NewCounter(prometheus.CounterOpts{Name: "pathtally_weight_loads_total", Help: "Loads of weights ordered by this node."})
	config.Registry.MustRegister(loads)
	return &Coordinator{
		config: config, loads: loads, lease: &lease{node: config.Node, nonce: config.Nonce, term: config.Term, store: config.Store},
		versions: map[string]map[string]int64{}, loading: map[string]wire.ReplicaVersion{}, leftAlone: map[string]time.Time{},
		wake: make(chan struct{}, 1),
	}
}

// SetTerm changes how long this node waits after another's last order; zero
// means the default.
func (c *Coordinator) SetTerm(term time.Duration) {
	if term <= 0 {
		term = defaultTerm
	}
	c.lease.setTerm(term)
}

// Run works until the context ends.
func (c *Coordinator) Run(ctx context.Context) {
	for ctx.Err() == nil {
		changed := c.config.Directory.Changed()
		pause := c.step(ctx)
		if !c.isCandidate() {
			// Whether there is work is for the candidates to see at once.
			changed, pause = nil, max(pause, outsiderPause)
		}
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
		case <-changed:
		case <-c.wake:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// idlePause is the time between looks without work; a change of the directory
// ends it.
const idlePause = 10 * time.Second

// step gives the orders that are due and returns when to look again.
func (c *Coordinator) step(ctx context.Context) time.Duration {
	view := c.config.Directory.View()
	c.forgetGone(view.Replicas)
	open := tasks(view, c, c.plannedDemand())
	open = slices.DeleteFunc(open, c.isUnderWay)
	c.mutex.Lock()
	idle := len(open) == 0 && len(c.loading) == 0
	if len(open) == 0 {
		c.workSince = time.Time{}
	} else if c.workSince.IsZero() {
		c.workSince = time.Now()
	}
	c.mutex.Unlock()
	if idle {
		return idlePause
	}
	if len(open) == 0 || !c.myTurn() {
		return lookPeriod
	}
	if c.lease.remaining() < leaseReserve {
		pause, err := c.lease.acquire(ctx)
		if err != nil {
			c.leaseRetry = min(max(lookPeriod, 2*c.leaseRetry), longestLeaseRetry)
			c.config.Logger.Info("order lease not acquired", "error", err.Error(), "retryMs", c.leaseRetry.Milliseconds())
			return c.leaseRetry
		}
		c.leaseRetry = 0
		if pause > 0 {
			c.noteAwaited(pause)
			return pause
		}
		c.config.Logger.Info("order lease acquired", "token", c.token())
		c.config.Broadcast()
	}
	c.begin(ctx, open, loadsAtOnce(engineReplicas(view)))
	return lookPeriod
}

// plannedDemand is the demand that replicas are shared out by: the one known
// now, but for small differences.
func (c *Coordinator) plannedDemand() map[string]float64 {
	if demand := c.config.Demand(); differs(c.planned, demand) {
		c.planned = demand
	}
	return c.planned
}

// loadsAtOnce is how many replicas of all may load at a time.
func loadsAtOnce(replicas int) int { return max(leastLoads, replicas/loadPart) }

// noteAwaited tells once for each revision that this node waits for its holder,
// in the log and to the other nodes: the holder may have been started anew since
// and not know that it is the one who need not wait.
func (c *Coordinator) noteAwaited(pause time.Duration) {
	holder, revision := c.lease.newest()
	if revision == c.awaited {
		return
	}
	c.awaited = revision
	c.config.Logger.Info("waiting for the order lease", "holder", holder, "revision", revision, "waitMs", pause.Milliseconds())
	c.config.Broadcast()
}

func (c *Coordinator) token() uint64 {
	token, _ := c.lease.valid()
	return token
}

func (c *Coordinator) nudge() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}
