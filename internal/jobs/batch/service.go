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

// Config has the dependencies of a Service.
type Config struct {
	Self       jobstore.Owner
	JobStore   *jobstore.Store
	Codec      Codec
	Directory  *directory.Table
	Dispatcher *dispatch.Dispatcher
	Forwarder  *forward.Forwarder
	Peers      environment.Peers
	PeerTable  *peering.Table
	// Region is the region of this node, "" if unknown.
	Region string
	// Clock also advances while the machine is suspended.
	Clock    clock.Clock
	Logger   klog.Logger
	Registry prometheus.Registerer
}

// Service accepts batch jobs, runs those that this node owns, and serves reads of all
// jobs. It is safe for concurrent use.
type Service struct {
	config  Config
	metrics *metrics
	// base is the context of background work; it ends when the node stops.
	base context.Context

	mutex sync.Mutex
	// jobs are those that this node runs or has run, by id.
	jobs map[string]*job
	// remoteJobs are those of other nodes, by id.
	remoteJobs map[string]*remoteJob
	// acceptances are the pending submissions, by id.
	acceptances map[string]*acceptance
	scheduler   *scheduler
	// replicas is what this node knows of replicas for placing items.
	replicas *replicastate.Table
	ends     *endedjobs.Registry
	// endsBeingPersisted are the jobs whose end is being stored in the background.
	endsBeingPersisted map[string]bool
	// These are statistics from earlier jobs.
	tolerances statistics.Tolerances
	lengths    *statistics.Lengths
	eventRates statistics.EventRates
	demand     *statistics.Demand
	trainers   *statistics.Trainers
	// openJobs are the open jobs of other nodes.
	openJobs *statistics.OpenJobs
	// storedLoads are the reads of ended jobs in progress, by id.
	storedLoads  map[string]*storedLoad
	offerBackoff *offerBackoff
	leaving      bool
	// recovered is set once the first page of the jobs in the store has been read.
	recovered bool
	// heartbeatWake is set when this node has something to announce in heartbeats, and
	// ownerWatchWake when there is a job whose owner has to be watched.
	heartbeatWake  signal
	ownerWatchWake signal
}

// NewService returns a service, which is idle until Run is called.
func NewService(base context.Context, config Config) *Service {
	service := &Service{
		config: config, base: base, metrics: newMetrics(config.Registry),
		jobs: map[string]*job{}, remoteJobs: map[string]*remoteJob{}, ends: endedjobs.NewRegistry(), endsBeingPersisted: map[string]bool{}, acceptances: map[string]*acceptance{},
		replicas:   replicastate.NewTable(),
		tolerances: statistics.Tolerances{}, lengths: statistics.NewLengths(), eventRates: statistics.EventRates{},
		demand: statistics.NewDemand(), trainers: statistics.NewTrainers(), openJobs: statistics.NewOpenJobs(), offerBackoff: newOfferBackoff(), storedLoads: map[string]*storedLoad{},
		heartbeatWake: newSignal(), ownerWatchWake: newSignal(),
	}
	service.scheduler = newScheduler(service)
	return service
}

// Run runs the service until the context ends.
func (s *Service) Run(ctx context.Context) {
	var loops sync.WaitGroup
	for _, loop := range []func(context.Context){s.recover, s.scheduler.schedule, s.watchOwners, s.sendHeartbeats} {
		loops.Go(func() { loop(ctx) })
	}
	loops.Wait()
}

// OpenJobCount returns the number of open jobs that this node runs.
func (s *Service) OpenJobCount() int {
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

// WakeScheduler makes the scheduler look for replicas for the queued items.
func (s *Service) WakeScheduler() { s.scheduler.wake.set() }

// priorityOf returns the priority of a job's items, 0 the most urgent: its tenant's if
// declared, else its route's.
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

// stopSuperseded stops a job that another node owns now. The mutex must be held.
func (s *Service) stopSuperseded(held *job) {
	if held.superseded {
		return
	}
	held.superseded = true
	held.cancelAppends()
	held.notify()
	delete(s.jobs, held.id)
	s.scheduler.dequeue(held)
	s.config.Logger.Info("batch job is owned by another node", "request", held.id, "epoch", held.record.Epoch)
}
