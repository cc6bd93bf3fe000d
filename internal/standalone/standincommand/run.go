package standincommand

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/pathtally/pathtally/internal/standalone/configwriter"
	"github.com/pathtally/pathtally/internal/standalone/devcluster"
	"github.com/pathtally/pathtally/internal/standalone/enginemodel"
	"github.com/pathtally/pathtally/internal/standalone/standin/engine"
	"github.com/pathtally/pathtally/internal/standalone/standin/platform"
	"github.com/pathtally/pathtally/internal/standalone/standin/scorer"
	"github.com/pathtally/pathtally/internal/standalone/standin/trainer"
)

const (
	exitDone = iota
	exitFailed
	exitUsage
)

const usageText = `pathtally-standin runs one stand-in for an outside system.

  pathtally-standin platform -listen 127.0.0.1:7000
  pathtally-standin engine   -listen 127.0.0.1:9101,127.0.0.1:9102 -weight-store 127.0.0.1:7000
  pathtally-standin scorer   -listen 127.0.0.1:9301
  pathtally-standin trainer  -name drafts -model routing-model -nodes 127.0.0.1:8001 -platform 127.0.0.1:7000

Each has -h. Exit codes: 0 done, 1 failed, 2 usage.
`

// Run executes a command line.
func Run(args []string, stdout, stderr io.Writer) int {
	commands := map[string]func(*flag.FlagSet, []string, io.Writer) error{
		"platform": runPlatform, "engine": runEngine, "trainer": runTrainer, "scorer": runScorer,
	}
	if len(args) == 0 || commands[args[0]] == nil {
		fmt.Fprint(stderr, usageText)
		return exitUsage
	}
	flags := flag.NewFlagSet(args[0], flag.ContinueOnError)
	flags.SetOutput(stderr)
	if err := commands[args[0]](flags, args[1:], stdout); err != nil {
		fmt.Fprintf(stderr, "pathtally-standin %s: %v\n", args[0], err)
		return exitFailed
	}
	return exitDone
}

// untilSignal waits for SIGTERM or SIGINT.
func untilSignal() context.Context {
	ctx, _ := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	return ctx
}

func runPlatform(flags *flag.FlagSet, args []string, stdout io.Writer) error {
	listen := flags.String("listen", "127.0.0.1:7000", "address to listen on")
	lag := flags.Duration("machine-lag", 2*time.Second, "how late the machine list shows a change")
	rate := flags.Float64("weight-loads", 64, "weight loads a second that the weight store allows")
	if err := flags.Parse(args); err != nil {
		return err
	}
	ctx := untilSignal()
	running, err := platform.Start(*listen, platform.Config{MachineLag: *lag, WeightLoadsPerSecond: *rate})
	if err != nil {
		return err
	}
	fmt.Fprintf(stdout, "platform: %s\n", running.Address())
	<-ctx.Done()
	running.Close()
	return nil
}

func runEngine(flags *flag.FlagSet, args []string, stdout io.Writer) error {
	listen := flags.String("listen", "127.0.0.1:9101", "addresses to listen on, one engine each, separated by commas")
	weights := flags.String("weight-store", "", "address of the weight store; empty loads at once")
	file := flags.String("parameters", "", "YAML file of engine parameters")
	grace := flags.Duration("grace", 2*time.Second, "how long a stop waits before streams are handed over")
	if err := flags.Parse(args); err != nil {
		return err
	}
	parameters := enginemodel.DefaultParameters()
	if *file != "" {
		loaded, err := enginemodel.LoadParameters(*file)
		if err != nil {
			return err
		}
		parameters = loaded
	}
	ctx := untilSignal()
	var running []*engine.Server
	for _, address := range strings.Split(*listen, ",") {
		started, err := engine.Start(address, engine.Config{Parameters: parameters, Lengths: devcluster.DefaultLengths(), Version: 1, WeightStore: *weights})
		if err != nil {
			return err
		}
		running = append(running, started)
		fmt.Fprintf(stdout, "engine: %s\n", started.Address())
	}
	<-ctx.Done()
	for _, started := range running {
		started.Drain(*grace)
		started.Close()
	}
	return nil
}

func runScorer(flags *flag.FlagSet, args []string, stdout io.Writer) error {
	listen := flags.String("listen", "127.0.0.1:9301", "address to listen on")
	delay := flags.Duration("delay", 2*time.Millisecond, "how long judging a sample takes")
	if err := flags.Parse(args); err != nil {
		return err
	}
	ctx := untilSignal()
	running, err := scorer.Start(*listen, *delay)
	if err != nil {
		return err
	}
	fmt.Fprintf(stdout, "scorer: %s\n", running.Address())
	<-ctx.Done()
	running.Close()
	return nil
}

func runTrainer(flags *flag.FlagSet, args []string, stdout io.Writer) error {
	config := trainer.Config{}
	flags.StringVar(&config.Name, "name", "drafts", "name of the declared trainer")
	nodes := flags.String("nodes", "127.0.0.1:8001", "HTTP addresses of nodes, separated by commas")
	platformAddress := flags.String("platform", "127.0.0.1:7000", "address of the object API")
	model := flags.String("model", "routing-model", "model that is trained")
	flags.IntVar(&config.Prompts, "prompts", 8, "prompts in a step")
	flags.IntVar(&config.SamplesPerPrompt, "samples", 4, "samples for each prompt")
	flags.IntVar(&config.MaxTokens, "max-tokens", 400, "longest sample")
	flags.IntVar(&config.StepsAhead, "steps-ahead", 1, "steps submitted before the last is trained")
	flags.Int64Var(&config.Bound, "bound", 2, "declared staleness bound, for the check")
	flags.DurationVar(&config.TrainTime, "train-time", time.Second, "how long a step trains")
	flags.IntVar(&config.MaxSteps, "steps", 0, "steps to train; 0 goes on until a signal")
	flags.Uint64Var(&config.Seed, "seed", 1, "seed of the prompts")
	if err := flags.Parse(args); err != nil {
		return err
	}
	writer, err := configwriter.NewBlocking(*platformAddress)
	if err != nil {
		return err
	}
	defer writer.Close()
	config.Nodes = func() []string { return strings.Split(*nodes, ",") }
	config.Publish = func(version int64) error {
		_, err := writer.WriteRebased(devcluster.AddVersion(*model, version))
		return err
	}
	ctx := untilSignal()
	running := trainer.New(config)
	running.Run(ctx)
	return writeCounts(stdout, running.Counts())
}

// writeCounts writes what a trainer has seen as one line of JSON.
func writeCounts(stdout io.Writer, counts trainer.Counts) error {
	report := struct {
		trainer.Counts
		IdlePercent float64 `json:"idle_percent"`
	}{counts, counts.IdlePercent()}
	line, err := json.Marshal(report)
	if err != nil {
		return err
	}
	fmt.Fprintln(stdout, string(line))
	return nil
}
