package batch

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/callers/admission"
	"github.com/pathtally/pathtally/internal/callers/dispatch"
	"github.com/pathtally/pathtally/internal/callers/forward"
	"github.com/pathtally/pathtally/internal/clock"
	"github.com/pathtally/pathtally/internal/cluster/peering"
	"github.com/pathtally/pathtally/internal/environment"
	"github.com/pathtally/pathtally/internal/jobs/journal"
	"github.com/pathtally/pathtally/internal/jobs/statistics"
	"github.com/pathtally/pathtally/internal/replicas/directory"
)

// Config is what a Service needs.
type Config struct {
	Self       journal.Owner
	Journal    *journal.Journal
	Codec      Codec
	Directory  *directory.Table
	Dispatcher *dispatch.Dispatcher
	Forwarder  *forward.Forwarder
	Peers      environment.Peers
	Table      *peering.Table
	// Region is the one that this node is in, "" for unknown.
	Region string
	// Clock counts suspensions of the machine.
	Clock    clock.Clock
	Logger   klog.Logger
	Registry prometheus.Registerer
}

// Service takes batch jobs, runs those of this node, and answers for all. It
// is safe for use by many goroutines.
type Service struct {
	config  Config
	metrics *metrics
	// base is the context of all work; it ends with the node.
	base context.Context

	mutex sync.Mutex
	// jobs are those that this node runs or has run.
	jobs map[string]*job
	// known are the batch jobs of other nodes.
	known map[string]*remoteJob
	// accepting are the submissions under way, by id.
	accepting map[string]*acceptance
	queue     []*item
	replicas  map[string]*replicaState
	uses      map[string]nodeUses
	attempts  map[*attempt]bool
	ends      endRegister
	// pursued are the jobs whose end is being made lasting after its caller's time.
	pursued map[string]bool
	// What jobs have shown of models and items.
	tolerances statistics.Tolerances
	lengths    *statistics.Lengths
	eventRates statistics.EventRates
	demand     *statistics.Demand
	// candidates are the replicas of each service among which items are placed.
	candidates map[string]*candidateSet
	// storedLoads are the jobs that are being read from the store, by id.
	storedLoads map[string]*storedLoad
	// avoided are nodes that did not answer an offer of a job, each until a time.
	avoided map[string]time.Time
	// rewardBounds are the bounds on calls of scorers, by route.
	rewardBounds map[string]*admission.Adaptive
	leaving      bool
	recovered    bool
	wake         signal
	// toTell is set when this node has something to tell in heartbeats, and toWatch when
	// there is a job whose owner has to be watched.
	toTell  signal
	toWatch signal
}

// NewService returns a service that does nothing before Run.
func NewService(base context.Context, config Config) *Service {
	return &Service{
		config: config, base: base, metrics: newMetrics(config.Registry),
		jobs: map[string]*job{}, known: map[string]*remoteJob{}, ends: newEndRegister(), pursued: map[string]bool{}, accepting: map[string]*acceptance{},
		replicas: map[string]*replicaState{}, uses: map[string]nodeUses{}, attempts: map[*attempt]bool{},
		tolerances: statistics.Tolerances{}, lengths: statistics.NewLengths(), eventRates: statistics.EventRates{},
		demand: statistics.NewDemand(), avoided: map[string]time.Time{}, storedLoads: map[string]*storedLoad{},
		candidates:   map[string]*candidateSet{},
		rewardBounds: map[string]*admission.Adaptive{},
		wake:         newSignal(), toTell: newSignal(), toWatch: newSignal(),
	}
}

// Run works until the context ends.
func (s *Service) Run(ctx context.Context) {
	var duties sync.WaitGroup
	for _, duty := range []func(context.Context){s.recover, s.schedule, s.watchOwners, s.beat} {
		duties.Go(func() { duty(ctx) })
	}
	duties.Wait()
}

// OpenJobs counts the jobs here that have work left.
func (s *Service) OpenJobs() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	count := 0
	for _, job := range s.jobs {
		if job.open() {
			count++
		}
	}
	return count
}

// LookAgain has the scheduler look again, for a replica that takes items again.
func (s *Service) LookAgain() { s.nudge() }

// nudge has the scheduler look again.
func (s *Service) nudge() { s.wake.set() }

// priorityOf is the rank of a job's items, 0 the most urgent: that of its tenant,
// else that of its route.
func priorityOf(configuration *directory.Configuration, record journal.Record) int {
	if configuration == nil {
		return 0
	}
	route := 0
	if standing := routeOf(configuration, record.Route); standing != nil {
		route = standing.Priority
	}
	return configuration.Tenants.PriorityOf(record.Tenant, route)
}

// displace stops running a job that another node runs now. The mutex must be
// held.
func (s *Service) displace(displaced *job) {
	if displaced.displaced {
		return
	}
	displaced.displaced = true
	displaced.cancelAppends()
	displaced.notify()
	delete(s.jobs, displaced.id)
	s.dropQueued(displaced)
	s.config.Logger.Info("batch job owned by another node now", "request", displaced.id, "epoch", displaced.record.Epoch)
}

// dropQueued takes a job's items out of the queue. The mutex must be held.
func (s *Service) dropQueued(dropped *job) {
	s.queue = slices.DeleteFunc(s.queue, func(waiting *item) bool { return waiting.job == dropped })
}
