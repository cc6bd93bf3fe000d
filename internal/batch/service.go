package batch

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/admission"
	"github.com/pathtally/pathtally/internal/directory"
	"github.com/pathtally/pathtally/internal/dispatch"
	"github.com/pathtally/pathtally/internal/environment"
	"github.com/pathtally/pathtally/internal/forward"
	"github.com/pathtally/pathtally/internal/peering"
)

// Config is what a Service needs.
type Config struct {
	Self       Owner
	Journal    *Journal
	Codec      Codec
	Directory  *directory.Table
	Dispatcher *dispatch.Dispatcher
	Forwarder  *forward.Forwarder
	Peers      environment.Peers
	Table      *peering.Table
	Logger     klog.Logger
	Registry   prometheus.Registerer
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
	known map[string]*foreign
	// accepting are the submissions under way, by id.
	accepting map[string]*acceptance
	queue     []*item
	replicas  map[string]*replicaState
	uses      map[string]nodeUses
	attempts  map[*attempt]bool
	ended     []recentEnd
	// tolerances gives by how many versions the weights of a model may be
	// behind, the least of what any job has allowed.
	tolerances map[string]int64
	// lengths are what earlier runs have shown of items that jobs ended
	// without, and toldLengths those that this node tells the others of.
	lengths     map[string]knownLength
	toldLengths []toldLength
	// rewardBounds are the bounds on calls of scorers, by route.
	rewardBounds map[string]*admission.Adaptive
	leaving      bool
	recovered    bool
	wake         chan struct{}
}

// recentEnd is a batch job ended lately, to be told to the other nodes.
type recentEnd struct {
	job string
	at  time.Time
}

// NewService returns a service that does nothing before Run.
func NewService(base context.Context, config Config) *Service {
	return &Service{
		config: config, base: base, metrics: newMetrics(config.Registry),
		jobs: map[string]*job{}, known: map[string]*foreign{}, accepting: map[string]*acceptance{},
		replicas: map[string]*replicaState{}, uses: map[string]nodeUses{}, attempts: map[*attempt]bool{}, tolerances: map[string]int64{}, lengths: map[string]knownLength{},
		rewardBounds: map[string]*admission.Adaptive{},
		wake:         make(chan struct{}, 1),
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

const (
	// leaveSaving bounds how long the saving of texts is waited for before jobs
	// are given away, and leaveLook is the time between looks at it.
	leaveSaving = time.Second
	leaveLook   = 10 * time.Millisecond
)

// Leave gives the jobs of this node away: others take them over at once, with
// the texts so far.
func (s *Service) Leave() {
	s.flushTexts()
	for began := time.Now(); s.savingTexts() && time.Since(began) < leaveSaving; {
		time.Sleep(leaveLook)
	}
	s.mutex.Lock()
	s.leaving = true
	s.mutex.Unlock()
	s.config.Table.Broadcast()
}

// flushTexts has the texts of running items saved now.
func (s *Service) flushTexts() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, held := range s.jobs {
		held.textsSaved, held.flushSoon = time.Time{}, true
		held.flushLater()
	}
}

// savingTexts tells whether a flush of texts has not come to its end.
func (s *Service) savingTexts() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, held := range s.jobs {
		if held.open() && held.textsSaved.IsZero() && len(held.unsavedTexts()) > 0 {
			return true
		}
		if held.saving {
			return true
		}
	}
	return false
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

// start takes up a job whose record names this node as its owner. The mutex
// must not be held.
func (s *Service) start(id string, submission *Submission, record Record, stands listing) {
	s.mutex.Lock()
	if standing := s.jobs[id]; standing != nil && !standing.displaced {
		s.mutex.Unlock()
		return
	}
	ctx, cancel := context.WithCancel(s.base)
	started := &job{
		id: id, submission: submission, record: record, accepted: time.Now(), confirmed: time.Now(), items: map[string]*item{}, listed: stands.results, chunks: stands.chunks,
		groups: map[string]*group{}, flush: make(chan struct{}, 1), changed: make(chan struct{}), ctx: ctx, cancel: cancel,
	}
	if retention := s.retention(record); retention > 0 {
		elapsed := max(0, time.Since(time.UnixMilli(record.AcceptedMs)))
		started.givenUpAt = started.accepted.Add(retention + giveUpMargin - min(elapsed, retention))
	}
	ranks := rankItems(submission, s.lengths)
	for _, submitted := range submission.Items {
		standing := started.groups[submitted.Group]
		if standing == nil {
			standing = &group{}
			started.groups[submitted.Group] = standing
		}
		standing.open++
		started.order = append(started.order, submitted.ID)
		started.items[submitted.ID] = &item{Item: submitted, job: started, group: standing, rank: ranks[submitted.ID], expected: s.expectedEvents(submitted.ID)}
	}
	for _, result := range stands.results {
		started.settle(result.ID)
	}
	restored := started.restore(joinPieces(stands.pieces))
	for _, submitted := range submission.Items {
		if pending := started.items[submitted.ID]; !pending.done {
			s.queue = append(s.queue, pending)
		}
	}
	s.sortQueue()
	s.noteTolerance(submission)
	s.jobs[id] = started
	delete(s.known, id)
	s.mutex.Unlock()
	s.config.Logger.Info("batch job taken up", "request", id, "epoch", record.Epoch, "items", len(started.items), "listed", len(stands.results), "texts", restored,
		"step", submission.Step, "model", submission.Model, "minVersion", submission.MinVersion, "desired", submission.Desired)
	go s.publish(started)
	s.nudge()
	s.config.Table.Broadcast()
}

// restore gives items the texts that an earlier owner saved, and tells how many
// got one.
func (j *job) restore(texts map[string]progress) int {
	restored := 0
	for id, text := range texts {
		if pending := j.items[id]; pending != nil && !pending.done {
			pending.progress, pending.saved, pending.events = text, len(text.events), len(text.events)
			restored++
		}
	}
	return restored
}

// settle marks an item as listed or finished.
func (j *job) settle(id string) {
	settled := j.items[id]
	if settled == nil || settled.done {
		return
	}
	settled.done = true
	settled.group.open--
}

// retention is after how long items of a job may be given up, 0 for never.
func (s *Service) retention(record Record) time.Duration {
	configuration := s.config.Directory.View().Configuration
	if configuration == nil {
		return 0
	}
	for _, route := range configuration.Routes {
		if route.Name == record.Route {
			return route.Retention
		}
	}
	return 0
}

// nudge has the scheduler look again.
func (s *Service) nudge() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// sortQueue orders the items that wait: those of more urgent routes first, then
// older jobs where they differ by much, then by rank. The mutex must be held.
func (s *Service) sortQueue() {
	priorities := map[string]int{}
	if configuration := s.config.Directory.View().Configuration; configuration != nil {
		for _, route := range configuration.Routes {
			priorities[route.Name] = route.Priority
		}
	}
	slices.SortStableFunc(s.queue, func(a, b *item) int {
		if order := priorities[a.job.record.Route] - priorities[b.job.record.Route]; order != 0 {
			return order
		}
		if order := a.job.accepted.Truncate(ageStep).Compare(b.job.accepted.Truncate(ageStep)); order != 0 {
			return order
		}
		return a.rank - b.rank
	})
}

// displace stops running a job that another node runs now. The mutex must be
// held.
func (s *Service) displace(displaced *job) {
	if displaced.displaced {
		return
	}
	displaced.displaced = true
	displaced.cancel()
	displaced.notify()
	delete(s.jobs, displaced.id)
	s.dropQueued(displaced)
	s.config.Logger.Info("batch job given to another node", "request", displaced.id, "epoch", displaced.record.Epoch)
}

// dropQueued takes a job's items out of the queue. The mutex must be held.
func (s *Service) dropQueued(dropped *job) {
	s.queue = slices.DeleteFunc(s.queue, func(waiting *item) bool { return waiting.job == dropped })
}

const (
	// ageStep is the difference in age from which an older job goes first.
	ageStep = 2 * time.Second
	// giveUpMargin is added to the time after which items may be given up,
	// since the clocks of owners differ.
	giveUpMargin = 8 * time.Second
)
