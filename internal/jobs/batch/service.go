package batch

import (
	"context"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/callers/dispatch"
	"github.com/pathtally/pathtally/internal/callers/forward"
	"github.com/pathtally/pathtally/internal/clock"
	"github.com/pathtally/pathtally/internal/cluster/peering"
	"github.com/pathtally/pathtally/internal/environment"
	"github.com/pathtally/pathtally/internal/jobs/endedjobs"
	"github.com/pathtally/pathtally/internal/jobs/jobstore"
	"github.com/pathtally/pathtally/internal/jobs/replicastate"
	"github.com/pathtally/pathtally/internal/jobs/statistics"
	"github.com/pathtally/pathtally/internal/replicas/directory"
)

// Config is what a Service needs.
type Config struct {
	Self       jobstore.Owner
	JobStore   *jobstore.Store
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

// Service accepts batch jobs, runs those of this node, and answers reads of all. It is safe
// for use by many goroutines.
type Service struct {
	config  Config
	metrics *metrics
	// base is the context of all work; it ends with the node.
	base context.Context

	mutex sync.Mutex
	// jobs are those that this node runs or has run.
	jobs map[string]*job
	// remoteJobs are those of other nodes.
	remoteJobs map[string]*remoteJob
	// accepting are the submissions under way, by id.
	accepting map[string]*acceptance
	scheduler *scheduler
	// replicas is what this node knows of replicas as places for items.
	replicas *replicastate.Table
	ends     *endedjobs.Registry
	// endsBeingPersisted are the jobs whose end is being stored after its caller's time.
	endsBeingPersisted map[string]bool
	// What jobs have shown of models and items.
	tolerances statistics.Tolerances
	lengths    *statistics.Lengths
	eventRates statistics.EventRates
	demand     *statistics.Demand
	// storedLoads are the jobs that are being read from the store, by id.
	storedLoads      map[string]*storedLoad
	unansweredOffers *unansweredOffers
	leaving          bool
	recovered        bool
	// heartbeatWake is set when this node has something to announce in heartbeats, and
	// ownerWatchWake when there is a job whose owner has to be watched.
	heartbeatWake  signal
	ownerWatchWake signal
}

// NewService returns a service that does nothing before Run.
func NewService(base context.Context, config Config) *Service {
	service := &Service{
		config: config, base: base, metrics: newMetrics(config.Registry),
		jobs: map[string]*job{}, remoteJobs: map[string]*remoteJob{}, ends: endedjobs.NewRegistry(), endsBeingPersisted: map[string]bool{}, accepting: map[string]*acceptance{},
		replicas:   replicastate.NewTable(),
		tolerances: statistics.Tolerances{}, lengths: statistics.NewLengths(), eventRates: statistics.EventRates{},
		demand: statistics.NewDemand(), unansweredOffers: newUnansweredOffers(), storedLoads: map[string]*storedLoad{},
		heartbeatWake: newSignal(), ownerWatchWake: newSignal(),
	}
	service.scheduler = newScheduler(service)
	return service
}

// Run works until the context ends.
func (s *Service) Run(ctx context.Context) {
	var duties sync.WaitGroup
	for _, duty := range []func(context.Context){s.recover, s.scheduler.schedule, s.watchOwners, s.sendHeartbeats} {
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

// WakeScheduler starts a round of the scheduler.
func (s *Service) WakeScheduler() { s.scheduler.wake.set() }

// priorityOf is the rank of a job's items, 0 the most urgent: that of its tenant,
// else that of its route.
func priorityOf(configuration *directory.Configuration, record jobstore.Record) int {
	if configuration == nil {
		return 0
	}
	route := 0
	if declared := routeOf(configuration, record.Route); declared != nil {
		route = declared.Priority
	}
	return configuration.Tenants.PriorityOf(record.Tenant, route)
}

// displace stops running a job that another node owns now. The mutex must be held.
func (s *Service) displace(displaced *job) {
	if displaced.displaced {
		return
	}
	displaced.displaced = true
	displaced.cancelAppends()
	displaced.notify()
	delete(s.jobs, displaced.id)
	s.scheduler.drop(displaced)
	s.config.Logger.Info("batch job owned by another node now", "request", displaced.id, "epoch", displaced.record.Epoch)
}
