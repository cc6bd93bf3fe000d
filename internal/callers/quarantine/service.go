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

// Config configures a Service.
type Config struct {
	// Node is the name of this node.
	Node string
	// Duration is how long a request stays in quarantine. If it is not positive,
	// DefaultDuration is used.
	Duration time.Duration
	Prober   Prober
	Store    objectstore.Store
	Peers    environment.Peers
	Logger   klog.Logger
	Registry prometheus.Registerer
	// Clock must also advance while the machine is suspended.
	Clock clock.Clock
	// Nodes returns the names of all nodes, including this one.
	Nodes func() []string
	// Address returns the address on which another node listens.
	Address func(node string) (address string, known bool)
}

// Service implements the quarantine on one node. It is safe for concurrent use.
type Service struct {
	config        Config
	metrics       *metrics
	crashDetector *crashDetector
	table         *Table
	recorder      *recorder
	// ctx bounds the checks of replicas.
	ctx context.Context

	// recordKnown is set once the stored record has been listed, even if it is missing or invalid.
	recordKnown atomic.Bool
	// suspectCount is the number of requests in both crash trackers plus the number of requests
	// with pending checks. While it is 0 and the table is empty, requests pass without the mutex
	// and without computing a fingerprint.
	suspectCount atomic.Int64
	mutex        sync.Mutex
	// tracker counts the crashes of live requests, on all nodes, and deferredTracker those of
	// deferred calls, on this node.
	tracker         *CrashTracker
	deferredTracker *CrashTracker
	// pendingChecks holds the requests that have pending checks. pendingChecksChanged is closed
	// and replaced whenever it changes.
	pendingChecks        map[Fingerprint]pendingChecks
	pendingChecksChanged chan struct{}
}

var _ dispatch.Guard = (*Service)(nil)

// NewService returns a Service. It does not write to the store before Run is called. The
// context bounds the checks of replicas.
func NewService(ctx context.Context, config Config) *Service {
	if config.Duration <= 0 {
		config.Duration = DefaultDuration
	}
	service := &Service{
		config: config, crashDetector: newCrashDetector(config.Prober), table: NewTable(), recorder: newRecorder(config.Store, config.Clock, config.Duration, config.Logger),
		ctx: ctx, tracker: NewCrashTracker(crashesToQuarantine), deferredTracker: NewCrashTracker(maxDeferredCrashes), pendingChecks: map[Fingerprint]pendingChecks{}, pendingChecksChanged: make(chan struct{}),
	}
	service.metrics = newMetrics(config.Registry, service.table, config.Clock)
	return service
}

// RecordKnown reports whether the stored record has been listed. Until then, Admit refuses all
// requests.
func (s *Service) RecordKnown() bool { return s.recordKnown.Load() }

// pruneInterval is the interval at which the crash trackers are pruned. While one of them is
// not empty, each call costs the computation of a fingerprint.
const pruneInterval = time.Minute

// Run writes quarantines to the store and prunes the crash trackers until the context ends.
func (s *Service) Run(ctx context.Context) {
	var background sync.WaitGroup
	background.Go(func() { s.recorder.Run(ctx) })
	for objectstore.Sleep(ctx, pruneInterval) {
		s.prune()
	}
	background.Wait()
}

// prune drops suspects without a crash or success for suspectLifetime.
func (s *Service) prune() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.tracker.Prune(s.config.Clock())
	s.deferredTracker.Prune(s.config.Clock())
	s.updateSuspectCount()
}
