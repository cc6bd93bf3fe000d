package slowstart

import (
	"context"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/wire"
)

const (
	// dutyName identifies this duty to the lease.
	dutyName = "slow-start"
	// leaseCheckInterval is the time between checks of whether the lease is due for renewal.
	leaseCheckInterval = 100 * time.Millisecond
	// leaseIdleTimeout is how long the lease is held after the last request for permits. It is
	// several times requestInterval, so that the lease is held while clients request permits.
	leaseIdleTimeout = time.Second
)

// AllotterConfig holds the dependencies of an Allotter.
type AllotterConfig struct {
	Limits Limits
	Lease  Lease
	// Rate returns the number of requests per second that a replica can serve while it
	// warms up, or 0 if the replica is unknown or has no limit.
	Rate func(replica string) float64
	// Clock is the boot-time clock.
	Clock    func() time.Time
	Logger   klog.Logger
	Registry prometheus.Registerer
}

// Allotter allots permits to all nodes while its own node holds the duty lease. It is safe
// for concurrent use.
type Allotter struct {
	config    AllotterConfig
	metrics   *allotterMetrics
	requested chan struct{}

	mutex  sync.Mutex
	ledger *Ledger
	// requestedAt is when the last request was received.
	requestedAt time.Time
	summary     summary
}

// NewAllotter returns an allotter. It acquires the lease only in Run.
func NewAllotter(config AllotterConfig) *Allotter {
	return &Allotter{config: config, metrics: newAllotterMetrics(config.Registry), requested: make(chan struct{}, 1), ledger: NewLedger()}
}

// Allot handles a request for permits. Nothing is allotted unless this node has held the
// lease for Window, so that all permits of earlier holders have expired.
func (a *Allotter) Allot(wanted []wire.ReplicaCount) []wire.ReplicaCount {
	select {
	case a.requested <- struct{}{}:
	default:
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	// The time is read before the lease is checked, so that the lease was held at that time.
	received := a.config.Clock()
	a.requestedAt = received
	since, valid := a.config.Lease.HeldSince()
	mayAllot := valid && received.Sub(since) >= Window
	var allotted []wire.ReplicaCount
	for _, want := range wanted {
		count := 0
		if mayAllot {
			count = a.ledger.Allot(want.Replica, received, int(want.Count), a.config.Limits.perWindow(a.config.Rate(want.Replica)))
		}
		if count > 0 {
			allotted = append(allotted, wire.ReplicaCount{Replica: want.Replica, Count: uint32(count)})
		}
		a.record(int(want.Count), count)
	}
	return allotted
}

// record adds the permits requested and allotted for one replica to the summary and the
// metrics. The mutex must be held.
func (a *Allotter) record(wanted, allotted int) {
	a.summary.replicaRequests++
	a.summary.allotted += allotted
	a.summary.refused += wanted - allotted
	a.metrics.allotted.Add(float64(allotted))
	a.metrics.refused.Add(float64(wanted - allotted))
}

// Run holds the lease while requests for permits arrive, until the context ends.
func (a *Allotter) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.requested:
			a.holdLease(ctx)
		}
	}
}

// holdLease holds the lease until no request has arrived for leaseIdleTimeout.
func (a *Allotter) holdLease(ctx context.Context) {
	defer a.config.Lease.MarkIdle(dutyName)
	for ctx.Err() == nil && a.hasRecentRequest() {
		pause := leaseCheckInterval
		if ready, retryAfter := a.config.Lease.EnsureHeld(ctx, dutyName); !ready {
			pause = min(max(retryAfter, leaseCheckInterval), leaseIdleTimeout)
		}
		wait(ctx, pause)
	}
	a.report()
}

// hasRecentRequest reports whether a request has arrived within leaseIdleTimeout.
func (a *Allotter) hasRecentRequest() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.config.Clock().Sub(a.requestedAt) < leaseIdleTimeout
}

// report logs the permits allotted since the last report.
func (a *Allotter) report() {
	a.mutex.Lock()
	reported := a.summary
	a.summary = summary{}
	a.ledger.Prune(a.config.Clock())
	a.mutex.Unlock()
	if reported.replicaRequests == 0 {
		return
	}
	a.config.Logger.Info("permits for warming replicas allotted", "questions", reported.replicaRequests, "allotted", reported.allotted, "refused", reported.refused)
}

// wait waits for the given time or until the context ends.
func wait(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
