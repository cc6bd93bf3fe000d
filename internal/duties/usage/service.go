package usage

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/duties/lease"
	"github.com/pathtally/pathtally/internal/environment"
	"github.com/pathtally/pathtally/internal/store/objectstore"
	"github.com/pathtally/pathtally/internal/wire"
)

// Config is what a Service needs.
type Config struct {
	Node        string
	Incarnation uint64
	// Window is the length of the windows, and Late how long after its end a
	// window's report is due.
	Window   time.Duration
	Late     time.Duration
	Keeper   *lease.Keeper
	Store    objectstore.Store
	Platform Platform
	Peers    environment.Peers
	Logger   klog.Logger
	Registry prometheus.Registerer
	// Nodes lists all nodes, and Peer tells where one is.
	Nodes func() []string
	Peer  func(node string) (address string, incarnation uint64, known bool)
	// Changed tells the peers that follow the reports of a further one.
	Changed func()
}

// Service counts, pushes and reports. It is safe for use by many goroutines.
type Service struct {
	config    Config
	clock     *Clock
	counter   *Counter
	collector *collector
	pusher    *pusher
	ledger    ledger
	metrics   *metrics
	started   time.Time
	// informedAt is since when others push their counts to this node, zero if they
	// do not. It belongs to the goroutine that reports.
	informedAt time.Time
	// done is the newest window up to which all have been reported or given up.
	done atomic.Int64
}

// NewService returns a service that does nothing but count before Run.
func NewService(config Config) *Service {
	clock := NewClock(config.Logger)
	counter := NewCounter(clock, config.Window)
	return &Service{
		config: config, clock: clock, counter: counter, collector: newCollector(), started: time.Now(),
		pusher: newPusher(config, counter, clock),
		ledger: ledger{store: config.Store}, metrics: newMetrics(config.Registry),
	}
}

// Began counts a request of a tenant's that began to run at an instant.
func (s *Service) Began(tenant string, at time.Time) { s.counter.Began(tenant, at) }

// Done is the newest window up to which all have been reported or given up, 0
// while none is known.
func (s *Service) Done() int64 { return s.done.Load() }

// ObserveDone takes another node's word of that.
func (s *Service) ObserveDone(number int64) {
	for {
		known := s.done.Load()
		if number <= known || s.done.CompareAndSwap(known, number) {
			return
		}
	}
}

// Take answers another node's push.
func (s *Service) Take(push *wire.UsagePush) *wire.UsageTaken {
	s.collector.take(push)
	return &wire.UsageTaken{UnixMs: s.clock.Unix(time.Now()).Milliseconds()}
}

// Run works until the context ends.
func (s *Service) Run(ctx context.Context) {
	var duties sync.WaitGroup
	duties.Go(func() { s.pusher.run(ctx) })
	duties.Go(func() { s.watchClock(ctx) })
	duties.Go(func() { s.report(ctx) })
	duties.Wait()
}

// clockLook is the time between looks at the time of day.
const clockLook = time.Second

func (s *Service) watchClock(ctx context.Context) {
	for objectstore.Sleep(ctx, clockLook) {
		now := time.Now()
		s.clock.Look(now, now)
	}
}

// Flush pushes what this node has counted, for a planned stop.
func (s *Service) Flush(ctx context.Context) {
	if !s.pusher.flush(ctx) {
		s.config.Logger.Info("usage counts not pushed to all at the stop")
	}
}
