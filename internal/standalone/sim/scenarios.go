package sim

import (
	"time"

	v1 "github.com/pathtally/pathtally/api/v1"
	"github.com/pathtally/pathtally/internal/environment"
	"github.com/pathtally/pathtally/internal/wire"
)

const (
	// leavingLimit is how long after the earliest sign work may still be sent.
	leavingLimit = 3 * time.Second
	// laggingList is how late the machine list is in the leaving scenario.
	laggingList = 30 * time.Second
	scenarioGap = 12 * time.Second
)

// RollingStop stops every node and drains every engine in turn, as planned,
// under load, and replaces each. Nothing may be cut.
func RollingStop(config Config) Result {
	world := NewWorld(config)
	world.Start()
	for _, stopping := range world.Nodes {
		stopped := false
		stopping.Stop(func() { stopped = true })
		world.Faults[FaultStop]++
		for !stopped {
			world.Scheduler.Run(time.Second)
		}
		stopping.restart()
		world.Scheduler.Run(scenarioGap)
	}
	for _, name := range world.order {
		draining := world.Engines[name]
		draining.Drain()
		world.Faults[FaultDrain]++
		world.Scheduler.Run(scenarioGap)
		draining.Crash()
		draining.Start()
		world.Scheduler.Run(scenarioGap)
	}
	result := world.settle()
	for _, end := range world.History.requests {
		if end.Reached && (end.Answer == nil || end.Answer.Outcome == wire.OutcomeUnknown && end.Asked.Key == "") {
			result.Violations = append(result.Violations, violation(PromiseStop, "%q had no known outcome", end.Asked.Prompt))
		}
	}
	return result
}

// Leaving takes engines away by each of the signs, with a machine list that
// lags and flaps.
func Leaving(config Config) Result {
	world := NewWorld(config)
	world.Platform.MachineLag = laggingList
	world.Start()
	world.Scheduler.Run(laggingList + scenarioGap)
	steps := []func(leaving *Engine){
		func(leaving *Engine) { leaving.Drain() },
		func(leaving *Engine) { leaving.Crash() },
		func(leaving *Engine) { world.cordon(leaving.host.Name) },
		func(leaving *Engine) { world.flap(leaving.host.Name) },
	}
	for i, leave := range steps {
		leaving := world.Engines[world.order[i]]
		leave(leaving)
		world.History.signed(leaving.host.Name)
		world.Scheduler.Run(laggingList + scenarioGap)
	}
	violations := Check(world.History)
	violations = append(violations, CheckLeaving(leavingLimit)(world.History)...)
	return Result{
		Seed: config.Seed, Hash: world.TraceHash(), Violations: violations, Faults: world.Faults,
		Requests: len(world.History.requests), Answered: world.History.answered, Steps: world.Trainer.Trained,
	}
}

// cordon declares that an engine gets no new work.
func (w *World) cordon(address string) {
	newOperator(w, "cordoner").Change(func(current *v1.Set) *v1.Set {
		for _, declared := range v1.All[*v1.Engine](current) {
			if declared.Spec.Address == address {
				cordoned := *declared
				cordoned.Spec.Cordoned = true
				return current.Merge(v1.NewSet(&cordoned))
			}
		}
		return current
	})
}

// flap shows a machine as leaving and then, by mistake, as live again. It is
// shown at once, so that the moment of the sign is known.
func (w *World) flap(address string) {
	lag := w.Platform.MachineLag
	w.Platform.MachineLag = 0
	w.Platform.SetMachine(environment.Machine{ID: "machine-" + address, Address: address, State: environment.MachineLeaving})
	w.Scheduler.After(scenarioGap, func() {
		w.Platform.SetMachine(environment.Machine{ID: "machine-" + address, Address: address, State: environment.MachineLive})
		w.Platform.MachineLag = lag
	})
}

// ConfigResult is how fast configuration came into force.
type ConfigResult struct {
	Result
	Generations int
	Slowest     time.Duration
}

// ManyChanges makes a number of changes within a minute and measures how long
// each takes to be in force, itself or a later one, on every node.
func ManyChanges(config Config, changes int) ConfigResult {
	world := NewWorld(config)
	world.Start()
	operator := newOperator(world, "operator")
	for range changes {
		operator.Change(nil)
		world.Scheduler.Run(time.Minute / time.Duration(changes))
	}
	settled := world.settle()
	slowest, generations := world.History.slowestGeneration(len(world.Nodes))
	return ConfigResult{Result: settled, Generations: generations, Slowest: slowest}
}

// slowestGeneration is the longest time from the write of a generation until
// every node had it or a later one.
func (h *History) slowestGeneration(nodes int) (time.Duration, int) {
	var slowest time.Duration
	for generation, written := range h.written {
		current := map[string]bool{}
		for _, apply := range h.applies {
			if apply.Generation >= generation {
				current[apply.Node] = true
			}
			if len(current) == nodes {
				slowest = max(slowest, apply.At-written)
				break
			}
		}
	}
	return slowest, len(h.written)
}

// OutageResult is what an hour without the object API did.
type OutageResult struct {
	Result
	AnsweredInOutage int
	StepsInOutage    int
	// RequestsBefore and RequestsAfter are calls to the object API in a span
	// just before and just after the outage.
	RequestsBefore int
	RequestsAfter  int
}

// outageSpan is the time over which calls before and after are compared.
const outageSpan = 30 * time.Second

// Outage takes the object API away for a while and counts what goes on, and
// how many calls meet it when it is back.
func Outage(config Config, span time.Duration) OutageResult {
	world := NewWorld(config)
	world.Start()
	world.Scheduler.Run(outageSpan)
	before := world.Platform.Requests
	world.Scheduler.Run(outageSpan)
	result := OutageResult{RequestsBefore: world.Platform.Requests - before}
	answered, steps := world.History.answered, world.Trainer.Trained
	world.Platform.Outage = true
	world.Faults[FaultOutage]++
	world.Scheduler.Run(span)
	world.Platform.Outage = false
	result.AnsweredInOutage = world.History.answered - answered
	result.StepsInOutage = world.Trainer.Trained - steps
	before = world.Platform.Requests
	world.Scheduler.Run(outageSpan)
	result.RequestsAfter = world.Platform.Requests - before
	result.Result = world.settle()
	return result
}
