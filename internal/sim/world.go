package sim

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	v1 "github.com/pathtally/pathtally/api/v1"
	"github.com/pathtally/pathtally/internal/enginemodel"
	"github.com/pathtally/pathtally/internal/environment"
	"github.com/pathtally/pathtally/internal/reader"
	"github.com/pathtally/pathtally/internal/rollout"
	"github.com/pathtally/pathtally/standin/objects"
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
	// Nodes and Engines are spread over three zones.
	Nodes   int
	Engines int
	// StepsAhead and Bound are the trainer's.
	StepsAhead int
	Bound      int64
	// RequestsPerSecond and UnsafeShare describe the callers.
	RequestsPerSecond float64
	UnsafeShare       float64
	Parameters        enginemodel.Parameters
	Lengths           enginemodel.Lengths
	Policy            rollout.Policy
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
		Seed: seed, Nodes: 5, Engines: 6, StepsAhead: 1, Bound: 2, RequestsPerSecond: 6, UnsafeShare: 0.4,
		Parameters: parameters, Lengths: enginemodel.Lengths{Median: 40, Sigma: 0.8, Max: 400},
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
	zones := []string{"zone-a", "zone-b", "zone-c"}
	for i := range config.Nodes {
		world.Nodes = append(world.Nodes, newNode(world, fmt.Sprintf("node-%d", i+1), zones[i%len(zones)], i < len(zones)))
	}
	for i := range config.Engines {
		name := fmt.Sprintf("127.0.0.1:%d", i+1)
		world.Engines[name] = newEngine(world, name, zones[i%len(zones)])
		world.order = append(world.order, name)
	}
	world.Trainer = newTrainer(world, trainerName, modelName, config.StepsAhead)
	world.Callers = newCallers(world)
	world.Platform.OnPut = world.put
	return world
}

// put records what is written to the object API.
func (w *World) put(object objects.Object) {
	if object.Name != reader.ConfigurationDocument {
		return
	}
	head := &reader.Head{}
	if json.Unmarshal(object.Data, head) != nil {
		return
	}
	set, err := v1.FromEntries(head.Document().Entries)
	if err != nil {
		return
	}
	w.History.put(head.Generation, set)
}

// declared is the configuration of the world.
func (w *World) declared() *v1.Set {
	header := func(kind v1.Kind, name string, labels map[string]string) v1.Header {
		return v1.Header{APIVersion: v1.APIVersion, Kind: kind, Metadata: v1.Metadata{Name: name, Labels: labels}}
	}
	all := []v1.Object{
		&v1.Model{Header: header(v1.KindModel, modelName, nil)},
		&v1.TrafficGroup{Header: header(v1.KindTrafficGroup, groupName, map[string]string{"urgency": "live"}), Spec: v1.TrafficGroupSpec{Model: modelName, Priority: 80}},
		&v1.RoutingRule{Header: header(v1.KindRoutingRule, "rule", nil), Spec: v1.RoutingRuleSpec{Groups: "urgency=live", Engines: "kind=gpu"}},
		&v1.Limit{Header: header(v1.KindLimit, limitName, nil), Spec: v1.LimitSpec{Groups: "urgency=live"}},
		&v1.Trainer{Header: header(v1.KindTrainer, trainerName, nil), Spec: v1.TrainerSpec{
			Model: modelName, Engines: "kind=gpu", Scorer: "http://127.0.0.1:1/score", MaxStaleness: w.config.Bound, StepsAhead: w.config.StepsAhead,
		}},
	}
	for i, name := range w.order {
		all = append(all, &v1.Engine{Header: header(v1.KindEngine, fmt.Sprintf("engine-%d", i+1), map[string]string{"kind": "gpu"}), Spec: v1.EngineSpec{
			Address: name, Model: modelName, Zone: w.Engines[name].host.Zone, Region: simRegion, Slots: w.config.Parameters.Slots,
		}})
	}
	for _, object := range all {
		object.SetDefaults()
	}
	return v1.NewSet(all...)
}

// Start brings everything up with the configuration in place.
func (w *World) Start() {
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
	for _, started := range w.Nodes {
		started.Start()
	}
	w.Scheduler.Run(3 * time.Second)
	w.Trainer.Start()
	w.Callers.start(groupName, w.config.RequestsPerSecond, w.config.UnsafeShare)
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

// seeds are the peers that a node joins through: all others.
func (w *World) seeds(except string) []string {
	var seeds []string
	for _, other := range w.Nodes {
		if other.host.Name != except {
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
	for _, name := range w.order {
		engine := w.Engines[name]
		if !engine.host.alive {
			continue
		}
		w.Scheduler.After(resetTime, engine.host.bind(func() { engine.dropStreams(host) }))
	}
}

// summaryLine is one line on the run, for reports.
func (w *World) summaryLine() string {
	return strings.TrimSpace(fmt.Sprintf("requests %d answered %d steps %d", len(w.History.requests), w.History.answered, w.Trainer.Trained))
}
