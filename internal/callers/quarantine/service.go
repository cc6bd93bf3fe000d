package quarantine

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/callers/dispatch"
	"github.com/pathtally/pathtally/internal/clock"
	"github.com/pathtally/pathtally/internal/environment"
	"github.com/pathtally/pathtally/internal/store/objectstore"
)

// DefaultSpan is how long a request stays in quarantine where the settings (quarantine)
// name no time: callers that try again give up within minutes, and a request that is
// held by mistake is served again within the same.
const DefaultSpan = 10 * time.Minute

// Config is what a Service needs.
type Config struct {
	Node     string
	Span     time.Duration
	Prober   Prober
	Store    objectstore.Store
	Peers    environment.Peers
	Logger   klog.Logger
	Registry prometheus.Registerer
	// Clock counts suspensions of the machine.
	Clock clock.Clock
	// Nodes lists all nodes, this one included, and Address where another one listens.
	Nodes   func() []string
	Address func(node string) (address string, known bool)
}

// Service is one node's part of the quarantine. It is safe for use by many goroutines.
type Service struct {
	config   Config
	metrics  *metrics
	endCheck *endCheck
	table    *Table
	recorder *recorder
	// ctx bounds what goes on beside the requests.
	ctx context.Context

	// suspects counts the requests in the ledger, so that ordinary requests pass
	// without the lock and without a fingerprint.
	suspects atomic.Int64
	mutex    sync.Mutex
	ledger   *Ledger
	// examined counts the broken runs of each request that are being looked into, and
	// settled is closed and replaced when one of them has been.
	examining        map[Fingerprint]int
	examinationEnded chan struct{}
}

var _ dispatch.Guard = (*Service)(nil)

// NewService returns a service that records nothing in the store before Run.
func NewService(ctx context.Context, config Config) *Service {
	if config.Span <= 0 {
		config.Span = DefaultSpan
	}
	service := &Service{
		config: config, endCheck: newEndCheck(config.Prober), table: NewTable(), recorder: newRecorder(config.Store, config.Clock, config.Span, config.Logger),
		ctx: ctx, ledger: NewLedger(), examining: map[Fingerprint]int{}, examinationEnded: make(chan struct{}),
	}
	service.metrics = newMetrics(config.Registry, service.table, config.Clock)
	return service
}

// forgetPause is the time between looks for ends to forget: while any are remembered, each
// request is told by its fingerprint.
const pruneInterval = time.Minute

// Run records quarantines in the store, and forgets what is long ago, until the context
// ends.
func (s *Service) Run(ctx context.Context) {
	var duties sync.WaitGroup
	duties.Go(func() { s.recorder.Run(ctx) })
	for objectstore.Sleep(ctx, pruneInterval) {
		s.prune()
	}
	duties.Wait()
}

// forget drops the ends that are long ago.
func (s *Service) prune() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.ledger.Prune(s.config.Clock())
	s.suspects.Store(int64(s.ledger.Len()))
}
