package weightorders

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/directory"
	"github.com/pathtally/pathtally/internal/objectstore"
	"github.com/pathtally/pathtally/internal/rendezvous"
	"github.com/pathtally/pathtally/internal/wire"
)

const (
	// loadsAtOnce is how many replicas load at a time: more take longer each.
	loadsAtOnce = 2
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
	// OnChange is told what becomes of replicas; Broadcast tells the peers.
	OnChange  func(change wire.ReplicaVersion)
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
	open := tasks(c.config.Directory.View(), c.version)
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
			c.config.Logger.Info("order lease not acquired", "error", err.Error())
			return lookPeriod
		}
		if pause > 0 {
			c.config.Logger.Info("order lease awaited", "holder", c.lease.heldBy(), "waitMs", pause.Milliseconds())
			return pause
		}
		c.config.Logger.Info("order lease held", "token", c.token())
		c.config.Broadcast()
	}
	c.begin(ctx, open)
	return lookPeriod
}

func (c *Coordinator) token() uint64 {
	token, _ := c.lease.valid()
	return token
}

// Lease returns the revision of the lease while this node holds it, else 0.
func (c *Coordinator) Lease() uint64 { return c.token() }

// Observe takes another node's word that it holds the lease.
func (c *Coordinator) Observe(node string, revision uint64) {
	if revision > 0 {
		c.lease.observe(node, revision)
	}
}

// ObserveVersion takes another node's word of a replica.
func (c *Coordinator) ObserveVersion(change wire.ReplicaVersion) {
	if !change.Loading {
		c.learn(change.Replica, change.Model, change.Version)
	}
}

// Versions returns what this node has to tell of replicas.
func (c *Coordinator) Versions() []wire.ReplicaVersion {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	told := slices.Clone(c.told)
	for _, change := range c.loading {
		told = append(told, change)
	}
	return told
}

// myTurn tells whether this node is the one to act: the last holder at once,
// the others one after the other when it does not.
func (c *Coordinator) myTurn() bool {
	holder := c.lease.heldBy()
	if holder == c.config.Node {
		return true
	}
	c.mutex.Lock()
	waited := time.Since(c.workSince)
	c.mutex.Unlock()
	patience := time.Duration(c.rank(holder)) * turnDelay
	if holder != "" {
		patience += holderPatience
		if time.Since(c.config.Heard(holder)) < holderPatience {
			// It is there and at work.
			patience += livePatience
		}
	}
	return waited >= patience
}

// rank is this node's place among the candidates.
func (c *Coordinator) rank(holder string) int {
	var candidates []rendezvous.Candidate
	for _, node := range c.config.Nodes() {
		if node != holder {
			candidates = append(candidates, rendezvous.Candidate{ID: node})
		}
	}
	return slices.IndexFunc(rendezvous.Rank(leaseName, candidates), func(candidate rendezvous.Candidate) bool {
		return candidate.ID == c.config.Node
	})
}

// begin starts as many loads as may run at once, at the least used replicas
// first, but those furthest behind before all.
func (c *Coordinator) begin(ctx context.Context, open []task) {
	slices.SortFunc(open, func(a, b task) int {
		if behind := cmp.Compare(b.version-b.has, a.version-a.has); behind != 0 {
			return behind
		}
		if load := cmp.Compare(c.config.Load(a.target.ID), c.config.Load(b.target.ID)); load != 0 {
			return load
		}
		return cmp.Compare(a.target.ID, b.target.ID)
	})
	for _, next := range open {
		c.mutex.Lock()
		full := len(c.loading) >= loadsAtOnce
		if !full {
			c.loading[next.target.ID] = wire.ReplicaVersion{Replica: next.target.ID, Model: next.model, Version: next.version, Loading: true}
		}
		c.mutex.Unlock()
		if full {
			return
		}
		go c.bring(ctx, next)
	}
}

// bring takes one replica to a version and sees that it gets there.
func (c *Coordinator) bring(ctx context.Context, next task) {
	ctx, cancel := context.WithTimeout(ctx, loadLimit)
	defer cancel()
	began := time.Now()
	err := c.order(ctx, next)
	c.mutex.Lock()
	delete(c.loading, next.target.ID)
	if err != nil {
		c.leftAlone[next.target.ID] = time.Now().Add(failPause)
	}
	c.mutex.Unlock()
	change := wire.ReplicaVersion{Replica: next.target.ID, Model: next.model, Version: c.version(next.target.ID, next.model)}
	c.config.OnChange(change)
	if err != nil {
		c.config.Logger.Info("replica not brought to version", "replica", next.target.ID, "model", next.model, "version", next.version,
			"tookMs", time.Since(began).Milliseconds(), "error", err.Error())
	} else {
		c.config.Logger.Info("replica brought to version", "replica", next.target.ID, "model", next.model, "version", next.version,
			"from", next.has, "tookMs", time.Since(began).Milliseconds())
		c.tell(change)
		c.config.Broadcast()
	}
	c.nudge()
}

// toldLength bounds the changes that heartbeats repeat.
const toldLength = 24

// tell keeps a change for the next heartbeats.
func (c *Coordinator) tell(change wire.ReplicaVersion) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.told = slices.DeleteFunc(c.told, func(older wire.ReplicaVersion) bool {
		return older.Replica == change.Replica && older.Model == change.Model
	})
	c.told = append(c.told, change)
	if len(c.told) > toldLength {
		c.told = c.told[len(c.told)-toldLength:]
	}
}

func (c *Coordinator) nudge() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// order gives the order and waits until the replica has the version.
func (c *Coordinator) order(ctx context.Context, next task) error {
	report, err := c.report(ctx, next.target)
	if err != nil {
		return err
	}
	if c.note(next, report) {
		return nil
	}
	if !report.Busy {
		token, valid := c.lease.valid()
		if !valid {
			return ErrFenced
		}
		c.config.OnChange(wire.ReplicaVersion{Replica: next.target.ID, Model: next.model, Version: next.version, Loading: true})
		c.config.Broadcast()
		callCtx, cancel := context.WithTimeout(ctx, callTime)
		holds, err := c.config.Replicas.Order(callCtx, next.target, Order{
			Model: next.model, Version: next.version, Owner: c.config.Node, Token: token, Expected: report.Sequence,
		})
		cancel()
		if holds {
			c.learn(next.target.ID, next.model, next.version)
			return nil
		}
		if err != nil && !errors.Is(err, ErrUnanswered) {
			return err
		}
		if err == nil {
			c.loads.Inc()
			if !objectstore.Sleep(ctx, loadTime) {
				return ctx.Err()
			}
		}
	}
	return c.await(ctx, next)
}

// idleReports is how many reports without an order under way show that an
// unanswered order has not been taken, or not yet.
const idleReports = 3

// await asks a replica until it has the version.
func (c *Coordinator) await(ctx context.Context, next task) error {
	idle := 0
	for {
		report, err := c.report(ctx, next.target)
		if err != nil {
			return err
		}
		if c.note(next, report) {
			return nil
		}
		if !report.Busy {
			if idle++; idle >= idleReports {
				return ErrUnanswered
			}
		}
		if !objectstore.Sleep(ctx, reportPause) {
			return ctx.Err()
		}
	}
}

// note records what a replica reports and tells whether it has the version.
func (c *Coordinator) note(next task, report Report) bool {
	for model, version := range report.Versions {
		c.learn(next.target.ID, model, version)
	}
	return report.Versions[next.model] >= next.version
}

func (c *Coordinator) report(ctx context.Context, target Target) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	return c.config.Replicas.Report(ctx, target)
}

// learn records that a replica has a version.
func (c *Coordinator) learn(replica, model string, version int64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.versions[replica] == nil {
		c.versions[replica] = map[string]int64{}
	}
	c.versions[replica][model] = max(c.versions[replica][model], version)
}

// version is the newest version known of a replica's model.
func (c *Coordinator) version(replica, model string) int64 {
	known := int64(0)
	if listed := c.config.Directory.View().Replicas[replica]; listed != nil {
		known = listed.Versions[model]
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return max(known, c.versions[replica][model])
}

// isUnderWay tells whether a task needs no order now.
func (c *Coordinator) isUnderWay(next task) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	_, loading := c.loading[next.target.ID]
	return loading || time.Now().Before(c.leftAlone[next.target.ID])
}
