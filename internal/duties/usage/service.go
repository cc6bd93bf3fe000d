package usage

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pathtally/pathtally/internal/store/objectstore"
	"github.com/pathtally/pathtally/internal/wire"
)

// clockPollInterval is the time between comparisons with the wall clock.
const clockPollInterval = time.Second

// Service counts the requests of this node, pushes its counts, and reports the sums of all
// nodes while this node holds the lease. It is safe for concurrent use.
type Service struct {
	config    Config
	clock     *Clock
	counter   *Counter
	collector *collector
	pusher    *pusher
	ledger    ledger
	metrics   *metrics
	started   time.Time
	// receiverSince is the time since which other nodes push their counts to this node, zero
	// if they do not. Only the reporting goroutine uses it.
	receiverSince time.Time
	// completed is the newest window up to which all windows have been reported or given up.
	completed atomic.Int64
}

// NewService returns a Service that only counts requests before Run is called.
func NewService(config Config) *Service {
	clock := NewClock(config.Logger)
	counter := NewCounter(clock, config.Window)
	return &Service{
		config: config, clock: clock, counter: counter, collector: newCollector(), started: time.Now(),
		pusher: newPusher(config, counter, clock),
		ledger: ledger{store: config.Store}, metrics: newMetrics(config.Registry),
	}
}

// CountRequest counts a request of a tenant that began to run at a time of the monotonic
// clock. It ignores requests without a tenant.
func (s *Service) CountRequest(tenant string, at time.Time) { s.counter.CountRequest(tenant, at) }

// ReceivePush records another node's counts, and returns the reply.
func (s *Service) ReceivePush(push *wire.UsagePush) *wire.UsageTaken {
	s.collector.add(push)
	return &wire.UsageTaken{UnixMs: s.clock.Unix(time.Now()).Milliseconds()}
}

// Run pushes and reports counts until the context is done.
func (s *Service) Run(ctx context.Context) {
	var duties sync.WaitGroup
	duties.Go(func() { s.pusher.run(ctx) })
	duties.Go(func() { s.syncClock(ctx) })
	duties.Go(func() { s.runReports(ctx) })
	duties.Wait()
}

func (s *Service) syncClock(ctx context.Context) {
	for objectstore.Sleep(ctx, clockPollInterval) {
		now := time.Now()
		s.clock.SyncToWallClock(now, now)
	}
}

// Flush pushes this node's counts before a graceful shutdown.
func (s *Service) Flush(ctx context.Context) {
	if !s.pusher.flush(ctx) {
		s.config.Logger.Info("failed to push all usage counts before shutdown")
	}
}
