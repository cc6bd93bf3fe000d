package sim

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/pathtally/pathtally/internal/environment"
	"github.com/pathtally/pathtally/internal/standalone/configwriter"
	"github.com/pathtally/pathtally/internal/standalone/devcluster"
	"github.com/pathtally/pathtally/internal/standalone/node"
	"github.com/pathtally/pathtally/internal/standalone/rollout"
)

const (
	trainerRetry = 300 * time.Millisecond
	trainerFetch = 10 * time.Second
	sampleTokens = 160
	stepPrompts  = 4
	stepSamples  = 3
)

// TrainerConfig describes a simulated trainer.
type TrainerConfig struct {
	Name  string
	Model string
	// Prompts and Samples make a step; Pool is after how many prompts they
	// come again.
	Prompts   int
	Samples   int
	Pool      int
	MaxTokens int
	// Ahead is how many steps are submitted before the last is trained.
	Ahead     int
	TrainTime time.Duration
}

// defaultTrainer is the small one of the chaos runs.
func defaultTrainer(ahead int) TrainerConfig {
	return TrainerConfig{
		Name: trainerName, Model: modelName, Prompts: stepPrompts, Samples: stepSamples, Pool: 64, MaxTokens: sampleTokens, Ahead: ahead, TrainTime: 2 * time.Second,
	}
}

// Trainer trains step after step through whatever node answers. What it has
// trained outlives its crashes.
type Trainer struct {
	world  *World
	host   *Host
	config TrainerConfig
	step   uint64
	place  int
	writer *configwriter.Writer
	// Trained counts the steps trained.
	Trained int
}

func newTrainer(world *World, config TrainerConfig) *Trainer {
	simulated := &Trainer{world: world, host: NewHost(world.Scheduler, "trainer-"+config.Name, outside), config: config, step: 1}
	world.Network.Add(simulated.host)
	return simulated
}

// Start begins a life of the trainer with the first step not yet trained.
func (t *Trainer) Start() {
	t.host.start()
	t.writer = configwriter.New(configwriter.Config{
		Clock: t.host, Random: rand.New(rand.NewPCG(t.world.Scheduler.Random.Uint64(), 1)), Objects: t.world.Platform.Client(t.host),
	})
	t.publish(int64(t.step))
	t.fetch()
}

// Crash ends the trainer's process.
func (t *Trainer) Crash() { t.host.kill() }

func (t *Trainer) request(step uint64) rollout.StepRequest {
	request := rollout.StepRequest{Step: step, TrainVersion: int64(step), SamplesPerPrompt: t.config.Samples, MaxTokens: t.config.MaxTokens, Seed: step * 7919}
	for i := range t.config.Prompts {
		request.Prompts = append(request.Prompts, fmt.Sprintf("%s rollout %d", t.config.Name, (int(step)*t.config.Prompts+i)%t.config.Pool))
	}
	return request
}

// call runs an exchange at a node's core; a redirect is followed.
func (t *Trainer) call(exchange func(core *node.Core, answer func(error)), done func(error)) {
	target := t.world.Nodes[t.place%len(t.world.Nodes)]
	ended := false
	end := t.host.bind(func() {
		if !ended {
			ended = true
			t.place++
			done(merry.Wrap(environment.ErrPeerUnreachable))
		}
	})
	t.world.Scheduler.After(trainerFetch+trainerRetry, end)
	if !target.host.alive {
		t.world.Scheduler.After(trainerRetry, end)
		return
	}
	target.onDeath(func() { t.world.Scheduler.After(resetTime, end) })
	network := t.world.Network
	life := t.host.life
	t.world.Scheduler.After(network.delay(t.host.Name, target.host.Name), target.host.bind(func() {
		exchange(target.core, func(err error) {
			t.world.Scheduler.After(network.delay(target.host.Name, t.host.Name), t.host.bind(func() {
				if ended || t.host.life != life {
					return
				}
				ended = true
				var redirect *node.RedirectError
				if errors.As(err, &redirect) {
					t.place = t.world.placeOf(redirect.Address)
				} else if err != nil {
					t.place++
				}
				done(err)
			}))
		})
	}))
}

func (t *Trainer) submit(step uint64, done func(error)) {
	t.call(func(core *node.Core, answer func(error)) { answer(core.SubmitStep(t.config.Name, t.request(step))) }, done)
}

// fetch submits the step, waits for it and goes on with it.
func (t *Trainer) fetch() {
	step := t.step
	again := func() { t.host.AfterFunc(trainerRetry, t.fetch) }
	t.submit(step, func(err error) {
		if err != nil {
			again()
			return
		}
		t.submitAhead(step)
		var body []byte
		var bound int64
		t.call(func(core *node.Core, answer func(error)) {
			by := t.world.Nodes[t.place%len(t.world.Nodes)].host
			cancel := core.FetchStep(t.config.Name, step, int64(step), func(found []byte, err error) {
				body, bound = found, t.world.History.boundAt(by.Name)
				answer(err)
			})
			by.AfterFunc(trainerFetch, cancel)
		}, func(err error) {
			if err != nil || step != t.step {
				again()
				return
			}
			t.world.History.delivered(t, step, body, bound)
			t.train(step)
		})
	})
}

// submitAhead opens the steps after one, while that one is still generated.
func (t *Trainer) submitAhead(step uint64) {
	for next := step + 1; next <= step+uint64(t.config.Ahead); next++ {
		t.submit(next, func(error) {})
	}
}

// train acknowledges the step, opens the next, trains and publishes.
func (t *Trainer) train(step uint64) {
	t.acknowledge(step, 0)
	if t.config.Ahead > 0 {
		t.host.AfterFunc(trainerRetry, func() { t.submitAhead(step + 1) })
	}
	t.host.AfterFunc(t.config.TrainTime, func() {
		t.step = step + 1
		t.Trained++
		t.world.History.trained(t.config.Name, step)
		t.publish(int64(t.step))
		t.fetch()
	})
}

func (t *Trainer) acknowledge(step uint64, tries int) {
	t.call(func(core *node.Core, answer func(error)) { answer(core.AcknowledgeStep(t.config.Name, step)) }, func(err error) {
		if err != nil && tries < callerTries {
			t.host.AfterFunc(trainerRetry, func() { t.acknowledge(step, tries+1) })
		}
	})
}

// publish declares the next weights, as often as it takes.
func (t *Trainer) publish(version int64) {
	t.writer.WriteRebased(devcluster.AddVersion(t.config.Model, version), func(_ configwriter.Result, err error) {
		if err != nil {
			t.host.AfterFunc(trainerRetry, func() {
				if version == int64(t.step) {
					t.publish(version)
				}
			})
		}
	})
}
