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

// Config is what a Service needs.
type Config struct {
	// Node is the name of this node.
	Node string
	// Span is how long a request stays in quarantine; DefaultSpan if it is not positive.
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
	// ctx ends the examinations.
	ctx context.Context

	// suspects is the number of requests in the ledger. While it is 0, requests pass
	// without the lock and without a fingerprint.
	suspects atomic.Int64
	mutex    sync.Mutex
	ledger   *Ledger
	// examining counts the broken runs of each request that are being examined, and
	// examinationEnded is closed and replaced whenever one of them has been.
	examining        map[Fingerprint]int
	examinationEnded chan struct{}
}

var _ dispatch.Guard = (*Service)(nil)

// NewService returns a service that writes nothing to the store before Run. The context
// ends the examinations of broken runs.
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

// pruneInterval is the time between the prunings of the ledger. While it has any request,
// each call costs a fingerprint.
const pruneInterval = time.Minute

// Run writes quarantines to the store and prunes the ledger until the context ends.
func (s *Service) Run(ctx context.Context) {
	var duties sync.WaitGroup
	duties.Go(func() { s.recorder.Run(ctx) })
	for objectstore.Sleep(ctx, pruneInterval) {
		s.prune()
	}
	duties.Wait()
}

// prune drops the requests that were not seen for suspectLifetime.
func (s *Service) prune() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.ledger.Prune(s.config.Clock())
	s.suspects.Store(int64(s.ledger.Len()))
}
