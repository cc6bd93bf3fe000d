package quarantine

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/dispatch"
)

// Config is what a Service needs.
type Config struct {
	Prober   Prober
	Logger   klog.Logger
	Registry prometheus.Registerer
}

// Service is one node's part of the quarantine. It is safe for use by many goroutines.
type Service struct {
	config  Config
	metrics *metrics
	ends    *endCheck
	// ctx bounds what goes on beside the requests.
	ctx context.Context
}

var _ dispatch.Guard = (*Service)(nil)

// NewService returns a service that works until the context ends.
func NewService(ctx context.Context, config Config) *Service {
	return &Service{config: config, metrics: newMetrics(config.Registry), ends: newEndCheck(config.Prober), ctx: ctx}
}

// Broke implements dispatch.Guard.
func (s *Service) Broke(run dispatch.Run) {
	go s.examine(run, time.Since(run.Sent))
}

// Served implements dispatch.Guard.
func (s *Service) Served(*dispatch.Call) {}

// examine finds out whether a replica has ended under a run that broke.
func (s *Service) examine(run dispatch.Run, lasted time.Duration) {
	found := s.ends.look(s.ctx, run.Endpoint)
	s.metrics.broken.WithLabelValues(string(found)).Inc()
	s.config.Logger.Info("run broke", "request", run.Call.ID, "fingerprint", fingerprintOf(run.Call).String(), "replica", run.Endpoint.Name,
		"replicaIs", found, "tookMs", lasted.Milliseconds(), "received", run.Received)
}
