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
	// askInterval is the least time between two questions: an allotment lives several
	// times as long, and a replica that warms up takes a request in about this time.
	askInterval = 120 * time.Millisecond
	// askTimeout bounds the wait for an answer: a later one would be worth little.
	askTimeout = 350 * time.Millisecond
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
	// unanswered counts the questions in a row without an answer, of which the first
	// is logged. It belongs to Run.
	unanswered int

	mutex sync.Mutex
	kept  map[string]*keptGate
}

// NewAsker returns an asker that asks nothing before Run.
func NewAsker(config AskerConfig) *Asker {
	return &Asker{config: config, metrics: newAskerMetrics(config.Registry), wanted: make(chan struct{}, 1), kept: map[string]*keptGate{}}
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
			wait(ctx, askInterval)
		}
		timer.Stop()
	}
}

// ask asks once for all that is wanted.
func (a *Asker) ask(ctx context.Context) {
	wanted := a.question()
	if len(wanted) == 0 {
		return
	}
	sent := a.config.Clock()
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	allotted, span, err := a.config.Ask(ctx, wanted)
	if err != nil {
		a.unanswered++
		if a.unanswered == 1 {
			a.config.Logger.Info("no answer about warming replicas", "replicas", len(wanted), "error", err.Error())
		}
		return
	}
	a.unanswered = 0
	a.answered(sent, span, allotted)
}

// question returns what is wanted now, in the order of the replicas' names.
func (a *Asker) question() []wire.ReplicaCount {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	var wanted []wire.ReplicaCount
	for replica, kept := range a.kept {
		if !kept.gate.Wanted() {
			continue
		}
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
