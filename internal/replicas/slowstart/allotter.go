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
	// dutyName names the allotting among the duties of the lease.
	dutyName = "slow-start"
	// leaseCheckInterval is the time between checks of whether the lease is due for renewal.
	leaseCheckInterval = 100 * time.Millisecond
	// leaseKeepTime is how long the lease is kept after the newest request for permits.
	// While anything warms up, clients send one each requestInterval.
	leaseKeepTime = time.Second
)

// AllotterConfig is what an Allotter needs.
type AllotterConfig struct {
	Limits Limits
	Lease  Lease
	// Rate returns how many requests a second a replica can take while it warms up, 0 for
	// a replica that is not known or has no bound.
	Rate func(replica string) float64
	// Clock is the boot-time clock.
	Clock    func() time.Time
	Logger   klog.Logger
	Registry prometheus.Registerer
}

// Allotter allots permits to all nodes while its own holds the duty lease. It is safe for
// use by many goroutines.
type Allotter struct {
	config    AllotterConfig
	metrics   *allotterMetrics
	requested chan struct{}

	mutex  sync.Mutex
	ledger *Ledger
	// requestedAt is when the newest request came.
	requestedAt time.Time
	summary     summary
}

// NewAllotter returns an allotter that acquires the lease only in Run.
func NewAllotter(config AllotterConfig) *Allotter {
	return &Allotter{config: config, metrics: newAllotterMetrics(config.Registry), requested: make(chan struct{}, 1), ledger: NewLedger()}
}

// Allot answers a request for permits that has just come. Nothing is allotted unless this
// node has held the lease for a Window, so that all permits of earlier holders have expired.
func (a *Allotter) Allot(wanted []wire.ReplicaCount) []wire.ReplicaCount {
	select {
	case a.requested <- struct{}{}:
	default:
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	// The time is taken before the lease is checked, so that the lease was held at it.
	received := a.config.Clock()
	a.requestedAt = received
	since, valid := a.config.Lease.Held()
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

// record adds one replica's part of a request to the summary and the metrics. The mutex
// must be held.
func (a *Allotter) record(wanted, allotted int) {
	a.summary.questions++
	a.summary.allotted += allotted
	a.summary.refused += wanted - allotted
	a.metrics.allotted.Add(float64(allotted))
	a.metrics.refused.Add(float64(wanted - allotted))
}

// Run keeps the lease while requests for permits come, until the context ends.
func (a *Allotter) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.requested:
			a.keepLease(ctx)
		}
	}
}

// keepLease keeps the lease until no request has come for leaseKeepTime.
func (a *Allotter) keepLease(ctx context.Context) {
	defer a.config.Lease.Idle(dutyName)
	for ctx.Err() == nil && a.wasRequested() {
		pause := leaseCheckInterval
		if ready, again := a.config.Lease.Ready(ctx, dutyName); !ready {
			pause = min(max(again, leaseCheckInterval), leaseKeepTime)
		}
		wait(ctx, pause)
	}
	a.report()
}

// wasRequested returns whether a request has come within leaseKeepTime.
func (a *Allotter) wasRequested() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.config.Clock().Sub(a.requestedAt) < leaseKeepTime
}

// report logs what was allotted since the last report.
func (a *Allotter) report() {
	a.mutex.Lock()
	reported := a.summary
	a.summary = summary{}
	a.ledger.Prune(a.config.Clock())
	a.mutex.Unlock()
	if reported.questions == 0 {
		return
	}
	a.config.Logger.Info("requests to warming replicas allotted", "questions", reported.questions, "allotted", reported.allotted, "refused", reported.refused)
}

// wait waits for a span or until the context ends.
func wait(ctx context.Context, span time.Duration) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
