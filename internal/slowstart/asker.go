package slowstart

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"github.com/pathtally/pathtally/internal/wire"
)

const (
	// askPause is the least time between two questions: an allotment lives several
	// times as long, and a replica that warms up takes a request in about this time.
	askPause = 120 * time.Millisecond
	// askTime bounds the wait for an answer: a later one would be worth little.
	askTime = 350 * time.Millisecond
	// mostWanted is how many requests to a replica are asked for at a time: with one
	// more than a single node can use between two questions, the first to ask leaves
	// something for the others, and little runs out unused.
	mostWanted = 2
)

// AskerConfig is what an Asker needs.
type AskerConfig struct {
	// Ask asks whoever allots. An answer with nothing in it is no error.
	Ask   func(ctx context.Context, wanted []wire.ReplicaCount) ([]wire.ReplicaCount, time.Duration, error)
	Clock func() time.Time
	// Allotted is called when requests have been allotted to this node.
	Allotted func()
	Logger   klog.Logger
	Registry prometheus.Registerer
}

// Asker keeps the gates of the replicas that warm up, and asks for allotments while
// requests want through. It is safe for use by many goroutines.
type Asker struct {
	config  AskerConfig
	metrics *askerMetrics
	wanted  chan struct{}

	mutex sync.Mutex
	kept  map[string]*keptGate
}

// keptGate is the gate of a replica that warms up.
type keptGate struct {
	gate   *Gate
	counts *gateCounts
}

// NewAsker returns an asker that asks nothing before Run.
func NewAsker(config AskerConfig) *Asker {
	return &Asker{config: config, metrics: newAskerMetrics(config.Registry), wanted: make(chan struct{}, 1), kept: map[string]*keptGate{}}
}

// SetWarming names all replicas that warm up. On return their gates are closed but
// for what is allotted. Those of other listed replicas are open; that of a replica
// that is gone stays closed to requests which chose it before, until it would have
// been warm.
func (a *Asker) SetWarming(warming []Warming, isListed func(replica string) bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	named := make(map[string]bool, len(warming))
	for _, replica := range warming {
		named[replica.Replica] = true
		a.bound(replica)
	}
	for replica, kept := range a.kept {
		if named[replica] {
			continue
		}
		if isListed(replica) {
			kept.gate.bounds.Store(nil)
		}
		a.forget(replica, kept)
	}
	a.metrics.warming.Set(float64(len(a.kept)))
	a.wake()
}

// bound closes the gate of a replica, or changes until when it is closed. The mutex
// must be held.
func (a *Asker) bound(replica Warming) {
	kept := a.kept[replica.Replica]
	if kept != nil && kept.gate != replica.Gate {
		a.forget(replica.Replica, kept)
		kept = nil
	}
	if kept == nil {
		kept = &keptGate{gate: replica.Gate, counts: &gateCounts{}}
		a.kept[replica.Replica] = kept
		kept.gate.bounds.Store(&bounds{until: replica.Until, clock: a.config.Clock, counts: kept.counts, wake: a.wake})
		a.config.Logger.Info("replica warms up", "replica", replica.Replica, "forMs", replica.Until.Sub(a.config.Clock()).Milliseconds())
		return
	}
	if standing := kept.gate.bounds.Load(); !standing.until.Equal(replica.Until) {
		next := *standing
		next.until = replica.Until
		kept.gate.bounds.Store(&next)
	}
}

// forget ends the keeping of a gate. The mutex must be held.
func (a *Asker) forget(replica string, kept *keptGate) {
	delete(a.kept, replica)
	used := kept.counts.used.Load()
	a.metrics.used.Add(float64(used))
	a.config.Logger.Info("replica is warm or gone", "replica", replica, "sentMeanwhile", used)
}

// wake has Run look for what is wanted.
func (a *Asker) wake() {
	select {
	case a.wanted <- struct{}{}:
	default:
	}
}

// Run asks while requests want through closed gates, until the context ends.
func (a *Asker) Run(ctx context.Context) {
	for ctx.Err() == nil {
		timer := time.NewTimer(a.untilNextEnd())
		select {
		case <-ctx.Done():
		case <-timer.C:
			a.releaseWarm()
		case <-a.wanted:
			a.releaseWarm()
			a.ask(ctx)
			wait(ctx, askPause)
		}
		timer.Stop()
	}
}

// idleLook is the time between looks while nothing warms up; what begins to wakes
// the asker.
const idleLook = time.Minute

// untilNextEnd is the time until the next replica is warm.
func (a *Asker) untilNextEnd() time.Duration {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	now := a.config.Clock()
	next := idleLook
	for _, kept := range a.kept {
		next = min(next, kept.gate.bounds.Load().until.Sub(now))
	}
	return max(0, next)
}

// releaseWarm opens the gates of the replicas that have become warm.
func (a *Asker) releaseWarm() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	now := a.config.Clock()
	for replica, kept := range a.kept {
		if !now.Before(kept.gate.bounds.Load().until) {
			kept.gate.bounds.Store(nil)
			a.forget(replica, kept)
		}
	}
	a.metrics.warming.Set(float64(len(a.kept)))
}

// ask asks once for all that is wanted.
func (a *Asker) ask(ctx context.Context) {
	wanted := a.question()
	if len(wanted) == 0 {
		return
	}
	sent := a.config.Clock()
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	allotted, span, err := a.config.Ask(ctx, wanted)
	if err != nil {
		a.config.Logger.V(1).Info("no answer about warming replicas", "error", err.Error())
		return
	}
	a.answered(sent, span, allotted)
}

// question returns what is wanted now, in the order of the replicas' names.
func (a *Asker) question() []wire.ReplicaCount {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	var wanted []wire.ReplicaCount
	for replica, kept := range a.kept {
		demand := min(int(kept.counts.demand.Swap(0)), mostWanted) - kept.gate.Left()
		if demand > 0 {
			wanted = append(wanted, wire.ReplicaCount{Replica: replica, Count: uint32(demand)})
			a.metrics.asked.Add(float64(demand))
		}
	}
	slices.SortFunc(wanted, func(x, y wire.ReplicaCount) int { return strings.Compare(x.Replica, y.Replica) })
	return wanted
}

// answered takes what was allotted for a question sent at an instant. It may be used
// for a span from then, not from the answer: the allotter knows no later instant.
func (a *Asker) answered(sent time.Time, span time.Duration, allotted []wire.ReplicaCount) {
	if len(allotted) == 0 {
		return
	}
	a.mutex.Lock()
	for _, part := range allotted {
		kept := a.kept[part.Replica]
		if kept == nil {
			continue
		}
		a.metrics.got.Add(float64(part.Count))
		kept.gate.bounds.Store(kept.gate.bounds.Load().with(newAllotment(int(part.Count), sent.Add(span))))
	}
	a.mutex.Unlock()
	a.config.Allotted()
}
