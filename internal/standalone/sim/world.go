package sim

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	v1 "github.com/pathtally/pathtally/api/v1"
	"github.com/pathtally/pathtally/internal/environment"
	"github.com/pathtally/pathtally/internal/standalone/enginemodel"
	"github.com/pathtally/pathtally/internal/standalone/reader"
)

// Names of what a World declares.
const (
	modelName   = "model"
	groupName   = "live"
	trainerName = "trainer"
	limitName   = "limit"
)

// Config describes a World.
type Config struct {
	Seed uint64
	// Nodes and Engines are spread over the places; the first node of each has
	// a data folder.
	Nodes   int
	Engines int
	Places  []Place
	// StepsAhead and Bound are the trainer's.
	StepsAhead int
	Bound      int64
	// RequestsPerSecond and UnsafeShare describe the callers.
	RequestsPerSecond float64
	UnsafeShare       float64
	// LiveTokens bounds the answers of callers.
	LiveTokens int
	Parameters enginemodel.Parameters
	Lengths    enginemodel.Lengths
	// Print receives the readable trace, if set.
	Print func(string)
}

// DefaultConfig is a small deployment that a test can run for minutes of
// virtual time in a fraction of a second.
func DefaultConfig(seed uint64) Config {
	parameters := enginemodel.DefaultParameters()
	parameters.Slots = 8
	parameters.StepBase = v1.Duration(12 * time.Millisecond)
	parameters.StepPerSequence = v1.Duration(time.Millisecond)
	return Config{
		Seed: seed, Nodes: 5, Engines: 6, Places: []Place{{"zone-a", "region"}, {"zone-b", "region"}, {"zone-c", "region"}}, StepsAhead: 1, Bound: 2, RequestsPerSecond: 6, UnsafeShare: 0.4, LiveTokens: 24,
		Parameters: parameters, Lengths: enginemodel.Lengths{Median: 40, Sigma: 0.8, Max: 400, PromptShare: 0.5},
	}
}

// World is a simulated deployment with everything around it.
type World struct {
	config    Config
	Scheduler *Scheduler
	Network   *Network
	Platform  *Platform
	Nodes     []*Node
	// Engines are known by their addresses; order lists these.
	Engines map[string]*Engine
	order   []string
	Trainer *Trainer
	Callers *Callers
	History *History
	trace   *xxhash.Digest
	quiet   bool
	lossy   float64
	// boundChanges numbers the operators that change the staleness bound.
	boundChanges int
	// Faults counts the faults injected, by kind.
	Faults map[string]int
}

// NewWorld builds a deployment; nothing runs before Start.
func NewWorld(config Config) *World {
	world := &World{
		config: config, Scheduler: NewScheduler(config.Seed), Engines: map[string]*Engine{}, trace: xxhash.New(), Faults: map[string]int{},
	}
	world.Network = NewNetwork(world.Scheduler)
	world.Platform = NewPlatform(world.Scheduler)
	world.History = newHistory(world)
	for i := range config.Nodes {
		storage := i < len(config.Places)
		world.Nodes = append(world.Nodes, newNode(world, fmt.Sprintf("node-%d", i+1), config.Places[i%len(config.Places)], storage))
	}
	for i := range config.Engines {
		world.addEngine(fmt.Sprintf("127.0.0.1:%d", i+1), config.Places[i%len(config.Places)])
	}
	world.Trainer = newTrainer(world, defaultTrainer(config.StepsAhead))
	world.Callers = newCallers(world)
	world.Platform.OnPut = world.put
	return world
}

func (w *World) addEngine(address string, where Place) {
	w.Engines[address] = newEngine(w, address, where)
	w.order = append(w.order, address)
}

// Start brings everything up, with load from callers and a trainer.
func (w *World) Start() {
	w.StartQuiet()
	w.Scheduler.Run(3 * time.Second)
	w.Trainer.Start()
	w.Callers.Start(groupName, w.config.RequestsPerSecond, w.config.UnsafeShare)
}

// StartQuiet brings everything up with the configuration in place and no load.
func (w *World) StartQuiet() { w.startQuietly(0) }

// startQuietly does so with the first node a while before the others.
func (w *World) startQuietly(ahead time.Duration) {
	set := w.declared()
	if findings := set.Validate(); len(findings) > 0 {
		panic(findings)
	}
	entries, err := set.Entries()
	if err != nil {
		panic(err)
	}
	head := reader.Head{Generation: 1, WriteID: "first", Objects: map[string]json.RawMessage{}}
	for key, data := range entries {
		head.Objects[key] = data
	}
	data, err := json.Marshal(head)
	if err != nil {
		panic(err)
	}
	w.Platform.store.Put(reader.ConfigurationDocument, data, 0)
	w.History.put(1, set)
	for _, name := range w.order {
		w.Engines[name].Start()
		w.Platform.SetMachine(environment.Machine{ID: "machine-" + name, Address: name, State: environment.MachineLive})
	}
	for number, started := range w.Nodes {
		started.Start()
		if number == 0 && ahead > 0 {
			w.Scheduler.Run(ahead)
		}
	}
}

// Trace adds a line to the trace of the run.
func (w *World) Trace(format string, values ...any) {
	line := fmt.Sprintf("%10.4f ", w.Scheduler.Elapsed().Seconds()) + fmt.Sprintf(format, values...)
	w.trace.WriteString(line)
	if w.config.Print != nil {
		w.config.Print(line)
	}
}

// TraceHash is the hash of the trace so far.
func (w *World) TraceHash() uint64 { return w.trace.Sum64() }

// maxSeeds bounds the peers that a node's settings name.
const maxSeeds = 5

// seeds are the peers that a node joins through.
func (w *World) seeds(except string) []string {
	var seeds []string
	for _, other := range w.Nodes {
		if other.host.Name != except && len(seeds) < maxSeeds {
			seeds = append(seeds, other.host.Name)
		}
	}
	return seeds
}

func (w *World) placeOf(address string) int {
	for i, candidate := range w.Nodes {
		if candidate.host.Name == address {
			return i
		}
	}
	return 0
}

// takeExport hands an exported KV cache over, once.
func (w *World) takeExport(source, handle string) bool {
	engine := w.Engines[source]
	if engine == nil || !engine.host.alive || !engine.exports[handle] {
		return false
	}
	delete(engine.exports, handle)
	return true
}

// loseAdmission decides whether the answer to an admission is lost.
func (w *World) loseAdmission() bool {
	return w.lossy > 0 && w.Scheduler.Random.Float64() < w.lossy
}

// connectionsLost ends the streams of a node that is gone.
func (w *World) connectionsLost(host *Host) {
	life := host.life
	for _, name := range w.order {
		engine := w.Engines[name]
		if !engine.host.alive {
			continue
		}
		w.Scheduler.After(resetTime, engine.host.bind(func() { engine.dropStreams(host, life) }))
	}
}
