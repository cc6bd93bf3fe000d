package sim

import (
	"maps"
	"slices"
	"time"
)

const (
	chaosSpan   = 70 * time.Second
	settleSpan  = 75 * time.Second
	minFault    = time.Second
	maxFault    = 18 * time.Second
	maxGap      = 8 * time.Second
	rivalPeriod = 6 * time.Second
)

// Result is what a run has shown.
type Result struct {
	Seed       uint64
	Hash       uint64
	Violations []Violation
	Faults     map[string]int
	Requests   int
	Answered   int
	Steps      int
}

// Chaos runs a world through random faults, one or several at a time, lets it
// settle, and checks everything.
func Chaos(config Config) Result {
	world := NewWorld(config)
	world.Start()
	world.startRivals(rivalPeriod)
	world.injectUntil(world.Scheduler.Now().Add(chaosSpan))
	world.Scheduler.Run(chaosSpan)
	return world.settle()
}

// injectUntil starts faults at random moments; each ends after a while.
func (w *World) injectUntil(limit time.Time) {
	random := w.Scheduler.Random
	var next func()
	next = func() {
		if w.Scheduler.Now().After(limit) {
			return
		}
		chosen := faults[random.IntN(len(faults))]
		w.Faults[chosen.kind]++
		w.Trace("fault: %s", chosen.kind)
		heal := chosen.inject(w)
		w.Scheduler.After(minFault+time.Duration(random.Int64N(int64(maxFault-minFault))), heal)
		w.Scheduler.After(time.Duration(random.Int64N(int64(maxGap))), next)
	}
	w.Scheduler.After(time.Second, next)
}

// settle lets everything heal, and checks that work goes on afterwards.
func (w *World) settle() Result {
	w.quiet = true
	w.Scheduler.Run(settleSpan)
	trained, answered := w.Trainer.Trained, w.History.answered
	w.Scheduler.Run(settleSpan)
	violations := Check(w.History)
	if w.Trainer.Trained == trained {
		violations = append(violations, violation(PromiseProgress, "no step was trained in the last %s", settleSpan))
	}
	if w.History.answered == answered {
		violations = append(violations, violation(PromiseProgress, "no request was answered in the last %s", settleSpan))
	}
	violations = append(violations, w.checkConverged()...)
	return Result{
		Seed: w.config.Seed, Hash: w.TraceHash(), Violations: violations, Faults: w.Faults,
		Requests: len(w.History.requests), Answered: w.History.answered, Steps: w.Trainer.Trained,
	}
}

// checkConverged checks that every node has the newest configuration.
func (w *World) checkConverged() []Violation {
	newest := slices.Max(slices.Collect(maps.Keys(w.History.puts)))
	var found []Violation
	for _, member := range w.Nodes {
		// The last writes may still be on their way.
		if generation := member.core.Generation(); generation+1 < newest {
			found = append(found, violation(PromiseProgress, "node %s has generation %d, the newest is %d", member.host.Name, generation, newest))
		}
	}
	return found
}
