package sim

import (
	"slices"
	"time"

	v1 "github.com/pathtally/pathtally/api/v1"
	"github.com/pathtally/pathtally/internal/standalone/enginemodel"
	"github.com/pathtally/pathtally/internal/standalone/rollout"
	"github.com/pathtally/pathtally/internal/standalone/stream"
)

// Experiment is a run of one policy on seeded work.
type Experiment struct {
	Set         *v1.Set
	ZoneLatency time.Duration
	Seed        uint64
	// Policy is nil for a run without training, which gives the latency that
	// live callers would have alone.
	Policy     rollout.Policy
	Steps      int
	Prompts    int
	Samples    int
	TrainTime  time.Duration
	Lengths    enginemodel.Lengths
	Parameters enginemodel.Parameters
	// LiveRate is requests a second of each traffic group.
	LiveRate   float64
	LiveTokens int
	// Limit ends a run that does not get through its steps.
	Limit time.Duration
}

// ExperimentResult is what a run has shown.
type ExperimentResult struct {
	Policy        string          `json:"policy"`
	Seed          uint64          `json:"seed"`
	Steps         int             `json:"steps"`
	IdlePercent   float64         `json:"idle_percent"`
	StepTimes     []time.Duration `json:"step_times"`
	Staleness     []int64         `json:"-"`
	Live          []time.Duration `json:"-"`
	LiveLate      int             `json:"live_late"`
	TokensWasted  int64           `json:"tokens_wasted"`
	Moved         int64           `json:"moved"`
	Raced         int64           `json:"raced"`
	StaleReplaced int64           `json:"stale_replaced"`
	// BoundPercent is the idle time that perfect knowledge of all lengths and
	// free transfers would leave.
	BoundPercent float64       `json:"bound_percent"`
	Violations   []Violation   `json:"violations,omitempty"`
	Virtual      time.Duration `json:"virtual"`
}

const (
	experimentWarmup  = 3 * time.Second
	experimentLook    = time.Second
	experimentTokens  = 4096
	sampleChunkTokens = 16
	// warmupSteps are left out of the figures.
	warmupSteps = 2
	promptPool  = 512
)

// RunExperiment runs one policy.
func RunExperiment(e Experiment) ExperimentResult {
	config := DefaultConfig(e.Seed)
	config.Set, config.ZoneLatency, config.Lean = e.Set, e.ZoneLatency, true
	config.Nodes, config.Parameters, config.Lengths = 3, e.Parameters, e.Lengths
	config.LiveTokens, config.ChunkTokens, config.Policy = e.LiveTokens, sampleChunkTokens, e.Policy
	world := NewWorld(config)
	world.StartQuiet()
	world.Scheduler.Run(experimentWarmup)
	for _, group := range v1.All[*v1.TrafficGroup](e.Set) {
		world.Callers.Start(group.Metadata.Name, e.LiveRate, 0)
	}
	if e.Policy == nil {
		world.Scheduler.Run(e.Limit)
		return ExperimentResult{Policy: "no training", Seed: e.Seed, Live: world.Callers.Latencies, LiveLate: world.Callers.Late, Virtual: e.Limit}
	}
	trainers := world.startTrainers(e)
	for begun := world.Scheduler.Now(); world.Scheduler.Now().Sub(begun) < e.Limit && !allFinished(trainers); {
		world.Scheduler.Run(experimentLook)
	}
	return world.experimentResult(e, trainers)
}

func (w *World) startTrainers(e Experiment) []*Trainer {
	var trainers []*Trainer
	for _, declared := range v1.All[*v1.Trainer](e.Set) {
		started := w.AddTrainer(TrainerConfig{
			Name: declared.Metadata.Name, Model: declared.Spec.Model, Prompts: e.Prompts, Samples: e.Samples, Pool: promptPool,
			MaxTokens: experimentTokens - e.LiveTokens, Ahead: e.Policy.StepsAhead(declared), TrainTime: e.TrainTime, MaxSteps: e.Steps,
		})
		started.Start()
		trainers = append(trainers, started)
	}
	return trainers
}

func allFinished(trainers []*Trainer) bool {
	return !slices.ContainsFunc(trainers, func(trainer *Trainer) bool { return !trainer.finished })
}

func (w *World) experimentResult(e Experiment, trainers []*Trainer) ExperimentResult {
	result := ExperimentResult{Policy: e.Policy.Name(), Seed: e.Seed, Live: w.Callers.Latencies, LiveLate: w.Callers.Late, Virtual: w.Scheduler.Elapsed()}
	idle, total := time.Duration(0), time.Duration(0)
	for _, trainer := range trainers {
		result.Steps += trainer.Trained
		for i := warmupSteps; i < len(trainer.StepOf); i++ {
			idle += trainer.IdleOf[i]
			total += trainer.StepOf[i]
			result.StepTimes = append(result.StepTimes, trainer.StepOf[i])
		}
	}
	if total > 0 {
		result.IdlePercent = 100 * float64(idle) / float64(total)
	}
	for _, delivery := range w.History.deliveries {
		if delivery.Step <= warmupSteps {
			continue
		}
		for _, sample := range delivery.Samples {
			result.Staleness = append(result.Staleness, max(0, int64(delivery.Step)-stream.OldestVersion(sample.Segments)))
		}
	}
	for _, member := range w.Nodes {
		counters := member.core.RolloutCounters()
		result.TokensWasted += counters.TokensWasted
		result.Moved += counters.Moved
		result.Raced += counters.Raced
		result.StaleReplaced += counters.StaleReplaced
	}
	result.BoundPercent = w.idleBound(e, trainers)
	result.Violations = append(CheckOnce(w.History), CheckStaleness(w.History)...)
	return result
}

// idleBound is the least idle time that any policy with the same look-ahead
// could reach: a step takes at least as long as it trains, as its
// tokens at the engines' full rate, and as its longest sample alone on an
// engine, which the look-ahead lets begin a step early. Without a look-ahead the
// trainer waits for all of it.
func (w *World) idleBound(e Experiment, trainers []*Trainer) float64 {
	ahead := 0
	for _, declared := range v1.All[*v1.Trainer](e.Set) {
		ahead = max(ahead, e.Policy.StepsAhead(declared))
	}
	p := e.Parameters
	single := p.StepBase.Std() + p.StepPerSequence.Std()
	full := p.StepBase.Std() + time.Duration(p.Slots)*p.StepPerSequence.Std()
	cycle, train := time.Duration(0), time.Duration(0)
	for _, trainer := range trainers {
		engines := 0
		for _, declared := range v1.All[*v1.Engine](e.Set) {
			if declared.Spec.Model == trainer.config.Model {
				engines++
			}
		}
		for step := uint64(1 + warmupSteps); step <= uint64(trainer.Trained); step++ {
			tokens, longest := w.stepWork(trainer, step)
			rate := time.Duration(float64(tokens) / float64(engines*p.Slots) * float64(full))
			tail := time.Duration(longest) * single / time.Duration(ahead+1)
			if ahead == 0 {
				cycle += trainer.config.TrainTime + max(rate, tail)
			} else {
				cycle += max(trainer.config.TrainTime, rate, tail)
			}
			train += trainer.config.TrainTime
		}
	}
	if cycle == 0 {
		return 0
	}
	return 100 * float64(cycle-train) / float64(cycle)
}

// stepWork is the tokens of a step and its longest sample.
func (w *World) stepWork(trainer *Trainer, step uint64) (tokens, longest int) {
	request := trainer.request(step)
	for i := range len(request.Prompts) * request.SamplesPerPrompt {
		length := min(request.MaxTokens, w.lengthOf(request.Prompts[i/request.SamplesPerPrompt], request.Seed^uint64(i)))
		tokens += length
		longest = max(longest, length)
	}
	return tokens, longest
}
