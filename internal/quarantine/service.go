package quarantine

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/clock"
	"github.com/pathtally/pathtally/internal/dispatch"
	"github.com/pathtally/pathtally/internal/environment"
	"github.com/pathtally/pathtally/internal/exchange"
	"github.com/pathtally/pathtally/internal/objectstore"
)

// DefaultSpan is how long a request stays in quarantine where the settings (quarantine)
// name no time: callers that try again give up within minutes, and a request that is
// held by mistake is served again within the same.
const DefaultSpan = 10 * time.Minute

// soonAfterSent is for how long after it was sent the break of a run counts although it
// had made a part of an answer that the next run goes on behind. A request that ends its
// replica does so soon after it begins; one that has run for longer is mostly cut off by
// the end that another has brought about.
const soonAfterSent = time.Second

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
	ends     *endCheck
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
	examined map[Fingerprint]int
	settled  chan struct{}
}

var _ dispatch.Guard = (*Service)(nil)

// NewService returns a service that records nothing in the store before Run.
func NewService(ctx context.Context, config Config) *Service {
	if config.Span <= 0 {
		config.Span = DefaultSpan
	}
	service := &Service{
		config: config, ends: newEndCheck(config.Prober), table: NewTable(), recorder: newRecorder(config.Store, config.Clock, config.Span, config.Logger),
		ctx: ctx, ledger: NewLedger(), examined: map[Fingerprint]int{}, settled: make(chan struct{}),
	}
	service.metrics = newMetrics(config.Registry, service.table, config.Clock)
	return service
}

// forgetPause is the time between looks for ends to forget: while any are remembered, each
// request is told by its fingerprint.
const forgetPause = time.Minute

// Run records quarantines in the store, and forgets what is long ago, until the context
// ends.
func (s *Service) Run(ctx context.Context) {
	var duties sync.WaitGroup
	duties.Go(func() { s.recorder.Run(ctx) })
	for objectstore.Sleep(ctx, forgetPause) {
		s.forget()
	}
	duties.Wait()
}

// forget drops the ends that are long ago.
func (s *Service) forget() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.ledger.Prune(s.config.Clock())
	s.suspects.Store(int64(s.ledger.Len()))
}

// Admit implements dispatch.Guard.
func (s *Service) Admit(ctx context.Context, call *dispatch.Call) error {
	if s.suspects.Load() == 0 && s.table.IsEmpty() {
		return nil
	}
	request := fingerprintOf(call)
	s.awaitExamined(ctx, request)
	left := s.table.Left(request, s.config.Clock())
	if left <= 0 {
		return nil
	}
	s.metrics.refused.Inc()
	return &dispatch.QuarantinedError{Fingerprint: request.String(), Left: left}
}

// awaitExamined waits while a run that broke may yet be found to be the end that puts a
// request in quarantine. Only requests that need just one more end wait.
func (s *Service) awaitExamined(ctx context.Context, request Fingerprint) {
	for {
		s.mutex.Lock()
		mayDecide := s.examined[request] > 0 && len(s.ledger.Ends(request)) >= endsToQuarantine-1
		settled := s.settled
		s.mutex.Unlock()
		if !mayDecide {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-settled:
		}
	}
}

// Broke implements dispatch.Guard.
func (s *Service) Broke(run dispatch.Run) {
	request := fingerprintOf(run.Call)
	s.mutex.Lock()
	s.examined[request]++
	s.mutex.Unlock()
	go func() {
		s.examine(request, run)
		s.mutex.Lock()
		defer s.mutex.Unlock()
		if s.examined[request]--; s.examined[request] == 0 {
			delete(s.examined, request)
		}
		close(s.settled)
		s.settled = make(chan struct{})
	}()
}

// examine finds out whether a replica has ended under a run that broke, and counts that
// against the request.
func (s *Service) examine(request Fingerprint, run dispatch.Run) {
	found := s.ends.look(s.ctx, run.Endpoint)
	s.metrics.broken.WithLabelValues(string(found)).Inc()
	hadProgress := run.Call.Resumable && run.Received && run.Lasted >= soonAfterSent
	counts := found == exchange.Ended && !hadProgress
	known := 0
	if counts {
		now := s.config.Clock()
		known = s.count(request, []end{{replica: run.Endpoint.Name, at: now}}, now)
	}
	s.config.Logger.Info("run broke", "request", run.Call.ID, "fingerprint", request.String(), "replica", run.Endpoint.Name, "replicaIs", found,
		"counts", counts, "ends", known, "tookMs", run.Lasted.Milliseconds(), "received", run.Received)
	switch {
	case known >= endsToQuarantine:
		s.quarantine(request)
	case counts:
		s.report(request, s.keepers(request))
	}
}

// count takes ends of replicas under a request and returns how many are known.
func (s *Service) count(request Fingerprint, ends []end, now time.Time) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	known := len(s.ledger.Ends(request))
	for _, next := range ends {
		known = s.ledger.Add(request, next.replica, next.at, now)
	}
	s.suspects.Store(int64(s.ledger.Len()))
	return known
}

// quarantine puts a request under which enough replicas have ended in quarantine, and
// tells the other nodes and the store.
func (s *Service) quarantine(request Fingerprint) {
	if !s.hold(request) {
		return
	}
	s.report(request, s.config.Nodes())
	s.recorder.want(request, intent{at: s.config.Clock()})
}

// hold puts a request in quarantine at this node and tells whether it was not in it.
func (s *Service) hold(request Fingerprint) bool {
	now := s.config.Clock()
	if !s.table.Hold(request, now.Add(s.config.Span), now) {
		return false
	}
	s.metrics.held.Inc()
	s.config.Logger.Info("request quarantined: replicas end under it", "fingerprint", request.String(), "spanMs", s.config.Span.Milliseconds())
	return true
}

// Served implements dispatch.Guard.
func (s *Service) Served(call *dispatch.Call, status int) {
	if s.suspects.Load() == 0 && s.table.IsEmpty() {
		return
	}
	if status < http.StatusOK || status >= http.StatusMultipleChoices {
		// A failure may come from a replica that did not begin to run it.
		return
	}
	request := fingerprintOf(call)
	wasSuspect, wasHeld := s.clear(request)
	switch {
	case wasHeld:
		s.recorder.want(request, intent{lift: true})
		s.reportServed(request, s.config.Nodes())
	case wasSuspect:
		s.reportServed(request, s.keepers(request))
	}
}

// clear forgets the ends under a request that was served, and lifts its quarantine.
func (s *Service) clear(request Fingerprint) (wasSuspect, wasHeld bool) {
	s.mutex.Lock()
	wasSuspect = s.ledger.Clear(request)
	s.suspects.Store(int64(s.ledger.Len()))
	s.mutex.Unlock()
	wasHeld = s.table.Lift(request, s.config.Clock())
	if wasHeld {
		s.config.Logger.Info("quarantine lifted: the request was served", "fingerprint", request.String())
	}
	return wasSuspect, wasHeld
}
