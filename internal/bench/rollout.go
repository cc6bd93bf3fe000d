package bench

import (
	"fmt"
	"os"
	"runtime"
	"slices"
	"strings"
	"sync"
	"time"

	v1 "github.com/pathtally/pathtally/api/v1"
	"github.com/pathtally/pathtally/internal/standalone/enginemodel"
	"github.com/pathtally/pathtally/internal/standalone/rollout"
	"github.com/pathtally/pathtally/internal/standalone/sim"
)

const (
	noTraining      = "none"
	experimentLimit = 3 * time.Hour
	noTrainingSpan  = 10 * time.Minute
	liveTokens      = 64
)

// rolloutFlags describe the experiments.
type rolloutFlags struct {
	folder      string
	policies    string
	parameters  string
	out         string
	steps       int
	seed        uint64
	seeds       int
	prompts     int
	samples     int
	trainTime   time.Duration
	zoneLatency time.Duration
	liveRate    float64
	lengths     enginemodel.Lengths
}

func (f *rolloutFlags) register(context *invocation) {
	flags := context.flags
	flags.StringVar(&f.folder, "deployment", "examples/kotuku", "folder of declared objects")
	flags.StringVar(&f.policies, "policy", "baseline,tail,overlap,fresh", "policies, separated by commas; \"none\" runs without training")
	flags.StringVar(&f.parameters, "parameters", "examples/engine.yaml", "YAML file of engine parameters")
	flags.StringVar(&f.out, "out", "out/rollout", "folder for the results")
	flags.IntVar(&f.steps, "steps", 50, "steps of each trainer")
	flags.Uint64Var(&f.seed, "seed", 1, "the first seed")
	flags.IntVar(&f.seeds, "seeds", 1, "how many seeds")
	flags.IntVar(&f.prompts, "prompts", 32, "prompts in a step")
	flags.IntVar(&f.samples, "samples", 8, "samples for each prompt")
	flags.DurationVar(&f.trainTime, "train-time", 15*time.Second, "how long a step trains")
	flags.DurationVar(&f.zoneLatency, "zone-latency", 500*time.Microsecond, "latency between zones, one way")
	flags.Float64Var(&f.liveRate, "live-rate", 4, "live requests a second of each traffic group")
	flags.Float64Var(&f.lengths.Median, "length-median", 300, "median tokens of a sample")
	flags.Float64Var(&f.lengths.Sigma, "length-sigma", 1.0, "spread of the logarithm of the length")
	flags.Float64Var(&f.lengths.PromptShare, "length-prompt-share", 0.5, "part of the spread that samples of a prompt share")
	flags.IntVar(&f.lengths.Max, "length-max", 4000, "longest sample in tokens")
}

// runRollout runs policies side by side on the same seeded work.
func runRollout(context *invocation) error {
	var chosen rolloutFlags
	chosen.register(context)
	if err := context.flags.Parse(context.args); err != nil {
		return err
	}
	experiments, err := chosen.experiments()
	if err != nil {
		return err
	}
	if err := os.MkdirAll(chosen.out, 0o755); err != nil {
		return err
	}
	results := runAll(context, experiments)
	report := newRolloutReport(chosen, results)
	if err := report.write(chosen.out); err != nil {
		return err
	}
	report.print(context.stdout)
	if report.Violations > 0 {
		return &FailedError{What: fmt.Sprintf("%d promises were broken", report.Violations)}
	}
	return nil
}

func (f *rolloutFlags) experiments() ([]sim.Experiment, error) {
	set, err := v1.LoadFolder(f.folder)
	if err != nil {
		return nil, err
	}
	parameters, err := enginemodel.LoadParameters(f.parameters)
	if err != nil {
		return nil, err
	}
	var experiments []sim.Experiment
	for _, name := range strings.Split(f.policies, ",") {
		policy, err := policyNamed(name)
		if err != nil {
			return nil, err
		}
		limit := experimentLimit
		if policy == nil {
			limit = noTrainingSpan
		}
		for i := range f.seeds {
			experiments = append(experiments, sim.Experiment{
				Set: set, ZoneLatency: f.zoneLatency, Seed: f.seed + uint64(i), Policy: policy, Steps: f.steps, Prompts: f.prompts, Samples: f.samples,
				TrainTime: f.trainTime, Lengths: f.lengths, Parameters: parameters, LiveRate: f.liveRate, LiveTokens: liveTokens, Limit: limit,
			})
		}
	}
	return experiments, nil
}

// policyNamed returns a policy, or nil for a run without training.
func policyNamed(name string) (rollout.Policy, error) {
	if name == noTraining {
		return nil, nil
	}
	index := slices.IndexFunc(rollout.Policies(), func(policy rollout.Policy) bool { return policy.Name() == name })
	if index < 0 {
		return nil, &FailedError{What: fmt.Sprintf("no policy %q", name)}
	}
	return rollout.Policies()[index], nil
}

// runAll runs the experiments, as many at a time as there are processors.
func runAll(context *invocation, experiments []sim.Experiment) []sim.ExperimentResult {
	results := make([]sim.ExperimentResult, len(experiments))
	places := make(chan int)
	var running sync.WaitGroup
	for range runtime.NumCPU() {
		running.Go(func() {
			for place := range places {
				begun := time.Now()
				results[place] = sim.RunExperiment(experiments[place])
				fmt.Fprintf(context.stderr, "%s seed %d: %d steps in %.1f s\n", results[place].Policy, results[place].Seed, results[place].Steps, time.Since(begun).Seconds())
			}
		})
	}
	for place := range experiments {
		places <- place
	}
	close(places)
	running.Wait()
	return results
}
