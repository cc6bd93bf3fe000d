package devrun

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	v1 "github.com/pathtally/pathtally/api/v1"
	"github.com/pathtally/pathtally/internal/standalone/configwriter"
	"github.com/pathtally/pathtally/internal/standalone/devcluster"
	"github.com/pathtally/pathtally/internal/standalone/enginemodel"
	"github.com/pathtally/pathtally/internal/standalone/loadgen"
	"github.com/pathtally/pathtally/internal/standalone/process"
	"github.com/pathtally/pathtally/internal/standalone/standin/trainer"
)

const (
	unsafeShare      = 0.10
	repeatShare      = 0.3
	liveMaxTokens    = 48
	sampleMaxTokens  = 400
	promptsPerStep   = 8
	samplesPerPrompt = 4
	trainTime        = 1200 * time.Millisecond
	scoreTime        = 2 * time.Millisecond
	progressPeriod   = time.Second
)

// Config describes a run.
type Config struct {
	Folder   string
	For      time.Duration
	Seed     uint64
	Rate     float64
	Progress io.Writer
}

// Run starts a deployment, lets traffic and training go on for a while, and
// returns what was seen.
func Run(config Config) (*Summary, error) {
	cluster, err := devcluster.Start(devcluster.Config{
		Folder: config.Folder, Parameters: enginemodel.DefaultParameters(), Lengths: devcluster.DefaultLengths(), ScoreTime: scoreTime,
	})
	if err != nil {
		return nil, err
	}
	defer cluster.Close()
	run := &run{config: config, cluster: cluster}
	run.watch = newConfigWatch(func() []*process.Process { return cluster.Nodes })
	return run.do()
}

// run is one run under way.
type run struct {
	config   Config
	cluster  *devcluster.Cluster
	watch    *configWatch
	load     *loadgen.Generator
	trainers []*trainer.Trainer
	bound    int64
}

func (r *run) do() (*Summary, error) {
	ctx, cancel := context.WithTimeout(context.Background(), r.config.For)
	defer cancel()
	stop := make(chan struct{})
	var background, foreground sync.WaitGroup
	background.Go(func() { r.watch.run(stop) })
	background.Go(func() { r.progress(stop) })
	r.load = loadgen.New(loadgen.Config{Streams: r.streams(), Nodes: r.cluster.Addresses, Seed: r.config.Seed})
	var loadErr error
	foreground.Go(func() { loadErr = r.load.Run(ctx) })
	for _, declared := range v1.All[*v1.Trainer](r.cluster.Objects) {
		running := r.newTrainer(declared)
		r.trainers = append(r.trainers, running)
		foreground.Go(func() { running.Run(ctx) })
	}
	foreground.Wait()
	close(stop)
	background.Wait()
	return r.summary(), loadErr
}

// streams gives each traffic group its share of the rate, more to the urgent.
func (r *run) streams() []loadgen.Stream {
	groups := v1.All[*v1.TrafficGroup](r.cluster.Objects)
	total := 0
	for _, group := range groups {
		total += group.Spec.Priority
	}
	var streams []loadgen.Stream
	for _, group := range groups {
		streams = append(streams, loadgen.Stream{
			Group: group.Metadata.Name, Model: group.Spec.Model, PerSecond: r.config.Rate * float64(group.Spec.Priority) / float64(total),
			MaxTokens: liveMaxTokens, Deadline: group.Spec.Deadline.Std(), UnsafeShare: unsafeShare, RepeatShare: repeatShare,
		})
	}
	return streams
}

func (r *run) newTrainer(declared *v1.Trainer) *trainer.Trainer {
	r.bound = max(r.bound, declared.Spec.MaxStaleness)
	model := declared.Spec.Model
	return trainer.New(trainer.Config{
		Name: declared.Metadata.Name, Nodes: r.cluster.Addresses, Prompts: promptsPerStep, SamplesPerPrompt: samplesPerPrompt,
		MaxTokens: sampleMaxTokens, StepsAhead: declared.Spec.StepsAhead, Bound: declared.Spec.MaxStaleness, TrainTime: trainTime, Seed: r.config.Seed,
		Publish: func(version int64) error { return r.publish(model, version) },
	})
}

// publish declares new weights, as a trainer's automation does.
func (r *run) publish(model string, version int64) error {
	result, err := r.cluster.Writer.WriteRebased(configwriter.Change(devcluster.AddVersion(model, version)))
	if err == nil {
		r.watch.accept(result.Generation)
	}
	return err
}

func (r *run) progress(stop <-chan struct{}) {
	begun := time.Now()
	ticker := time.NewTicker(progressPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			counts, steps := r.load.Counts(), 0
			for _, running := range r.trainers {
				steps += running.Counts().Steps
			}
			fmt.Fprintf(r.config.Progress, "%3.0fs sent %d answered %d refused %d unknown %d | steps %d | generation %d\n",
				time.Since(begun).Seconds(), counts.Sent, counts.Answered, counts.RefusedNotRun, counts.Unknown, steps, r.cluster.Nodes[0].Generation())
		}
	}
}

func (r *run) summary() *Summary {
	summary := &Summary{Requests: RequestSummary{Counts: r.load.Counts()}, Codes: r.load.Codes(), Config: r.watch.summary()}
	summary.Requests.P50 = float64(r.load.Quantile(50).Microseconds()) / 1000
	summary.Requests.P99 = float64(r.load.Quantile(99).Microseconds()) / 1000
	for prompt, sent := range r.load.Unsafe() {
		summary.Unsafe.Sent += sent
		runs := r.cluster.Runs(prompt)
		summary.Unsafe.Run += runs
		if runs > 1 {
			summary.Unsafe.RunTwice++
		}
	}
	for _, prompt := range r.load.NotRun() {
		if r.cluster.Runs(prompt) > 0 {
			summary.NotRunButRan++
		}
	}
	r.addTrainers(summary)
	return summary
}

func (r *run) addTrainers(summary *Summary) {
	var all trainer.Counts
	for _, running := range r.trainers {
		counts := running.Counts()
		all.Staleness = append(all.Staleness, counts.Staleness...)
		all.Idle += counts.Idle
		all.Training += counts.Training
		summary.Steps += counts.Steps
		summary.WeightVersions = max(summary.WeightVersions, counts.Versions)
		summary.Samples.Delivered += counts.Delivered
		summary.Samples.Duplicate += counts.Duplicate
		summary.Samples.Lost += counts.Lost
		summary.Samples.Stale += counts.Stale
		summary.Samples.Unversioned += counts.Unversioned
		summary.Samples.Wrong += counts.Wrong
	}
	summary.TrainerIdlePercent = all.IdlePercent()
	summary.Staleness = StalenessSummary{P50: all.Percentile(0.5), P99: all.Percentile(0.99), Max: all.Percentile(1), Bound: r.bound}
}
