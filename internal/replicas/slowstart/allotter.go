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
	// leaseCheckInterval is the time between looks whether the lease is about to run out.
	leaseCheckInterval = 100 * time.Millisecond
	// askedRecently is for how long after a question the lease is kept: askers ask
	// again within some tenths of a second as long as anything warms up.
	askedRecently = time.Second
)

// AllotterConfig is what an Allotter needs.
type AllotterConfig struct {
	Limits Limits
	Lease  Lease
	// Rate is how many requests a second a replica bears while it warms up, 0 for a
	// replica that is not known or has no bound.
	Rate     func(replica string) float64
	Clock    func() time.Time
	Logger   klog.Logger
	Registry prometheus.Registerer
}

// Allotter answers the questions of all nodes while its own holds the duty lease. It
// is safe for use by many goroutines.
type Allotter struct {
	config  AllotterConfig
	metrics *allotterMetrics
	asked   chan struct{}

	mutex  sync.Mutex
	ledger *Ledger
	// askedAt is when the last question came.
	askedAt time.Time
	summary summary
}

// NewAllotter returns an allotter that goes for the lease only in Run.
func NewAllotter(config AllotterConfig) *Allotter {
	return &Allotter{config: config, metrics: newAllotterMetrics(config.Registry), asked: make(chan struct{}, 1), ledger: NewLedger()}
}

// Allot answers a question that has just come. Nothing is allotted unless this node
// has held the lease for so long that whatever others have allotted has run out.
func (a *Allotter) Allot(wanted []wire.ReplicaCount) []wire.ReplicaCount {
	select {
	case a.asked <- struct{}{}:
	default:
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	// The instant comes before the look at the lease, which then held at it as well.
	received := a.config.Clock()
	a.askedAt = received
	since, valid := a.config.Lease.Held()
	mayAllot := valid && received.Sub(since) >= Window
	var allotted []wire.ReplicaCount
	for _, want := range wanted {
		count := 0
		if mayAllot {
			count = a.ledger.Allot(want.Replica, received, int(want.Count), a.config.Limits.most(a.config.Rate(want.Replica)))
		}
		if count > 0 {
			allotted = append(allotted, wire.ReplicaCount{Replica: want.Replica, Count: uint32(count)})
		}
		a.count(int(want.Count), count)
	}
	return allotted
}

// count adds what became of one replica's part of a question to the summary and the
// metrics. The mutex must be held.
func (a *Allotter) count(wanted, allotted int) {
	a.summary.questions++
	a.summary.allotted += allotted
	a.summary.refused += wanted - allotted
	a.metrics.allotted.Add(float64(allotted))
	a.metrics.refused.Add(float64(wanted - allotted))
}

// Run keeps the lease while questions come, until the context ends.
func (a *Allotter) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.asked:
			a.keep(ctx)
		}
	}
}

// keep keeps the lease until no question has come for a while.
func (a *Allotter) keep(ctx context.Context) {
	defer a.config.Lease.Idle(dutyName)
	for ctx.Err() == nil && a.wasAsked() {
		pause := leaseCheckInterval
		if ready, again := a.config.Lease.Ready(ctx, dutyName); !ready {
			pause = min(max(again, leaseCheckInterval), askedRecently)
		}
		wait(ctx, pause)
	}
	a.report()
}

// wasAsked tells whether a question has come of late.
func (a *Allotter) wasAsked() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.config.Clock().Sub(a.askedAt) < askedRecently
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
