package usage

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pathtally/pathtally/internal/store/objectstore"
	"github.com/pathtally/pathtally/internal/wire"
)

// clockPollInterval is the time between two comparisons with the time of day.
const clockPollInterval = time.Second

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

// ReceivePush answers another node's push.
func (s *Service) ReceivePush(push *wire.UsagePush) *wire.UsageTaken {
	s.collector.add(push)
	return &wire.UsageTaken{UnixMs: s.clock.Unix(time.Now()).Milliseconds()}
}

// Run works until the context ends.
func (s *Service) Run(ctx context.Context) {
	var duties sync.WaitGroup
	duties.Go(func() { s.pusher.run(ctx) })
	duties.Go(func() { s.compareClock(ctx) })
	duties.Go(func() { s.report(ctx) })
	duties.Wait()
}

func (s *Service) compareClock(ctx context.Context) {
	for objectstore.Sleep(ctx, clockPollInterval) {
		now := time.Now()
		s.clock.Compare(now, now)
	}
}

// Flush pushes what this node has counted, for a planned stop.
func (s *Service) Flush(ctx context.Context) {
	if !s.pusher.flush(ctx) {
		s.config.Logger.Info("usage counts not pushed to all at the stop")
	}
}
