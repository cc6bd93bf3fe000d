package sim

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	v1 "github.com/pathtally/pathtally/api/v1"
	"github.com/pathtally/pathtally/internal/standalone/engine"
	"github.com/pathtally/pathtally/internal/standalone/enginemodel"
	"github.com/pathtally/pathtally/internal/standalone/rollout"
	"github.com/pathtally/pathtally/internal/wire"
)

// History is what happened at the edges: at callers, engines, the trainer, the
// object API, and which configuration each node had.
type History struct {
	world *World

	requests   []RequestEnd
	answered   int
	admissions []Admission
	runs       map[string]int
	tokens     map[string][]VersionRun
	deliveries []Delivery
	trainings  map[string]int
	puts       map[uint64]*v1.Set
	marks      map[string]int
	written    map[uint64]time.Duration
	writes     []Write
	applies    []Applied
	servings   []Applied
	signs      []Sign
	dispatches []Dispatched
	stops      []Stopped
}

// RequestEnd is how a request ended for its caller.
type RequestEnd struct {
	Asked CallerRequest
	// Answer is nil when the caller got none.
	Answer *CallerAnswer
	// Reached is false when no node accepted the connection.
	Reached bool
	// Expected is the right text.
	Expected string
	At       time.Duration
}

// Admission is a request that an engine took in.
type Admission struct {
	Engine string
	ID     string
	Prompt string
	// Anew is false when a stream was resumed or moved.
	Anew    bool
	Leaving bool
	At      time.Duration
}

// VersionRun is a run of tokens that an engine produced for a dispatch.
type VersionRun struct {
	ID      string
	First   int
	Count   int
	Version int64
}

// Delivery is a step that reached the trainer.
type Delivery struct {
	Trainer  string
	Step     uint64
	Body     []byte
	Manifest rollout.Manifest
	Samples  []rollout.Sample
	// Expected is how many samples the step has.
	Expected int
	// Bound is the staleness bound in force at the node when it answered.
	Bound int64
	At    time.Duration
}

// Write is a configuration write as its writer learned of it.
type Write struct {
	Mark       string
	Generation uint64
	// Conflict is true for a refused write; Named is how many changes the
	// refusal named.
	Conflict bool
	Named    int
}

// Applied is a generation that came into force, or was served, on a node.
type Applied struct {
	Node       string
	Life       int
	Generation uint64
	// Order is the place among all that was applied or served.
	Order int
	At    time.Duration
}

// Sign is the earliest moment at which an engine is known to leave.
type Sign struct {
	Engine string
	At     time.Duration
}

// Dispatched is a request that a node sent to an engine.
type Dispatched struct {
	Node   string
	Engine string
	At     time.Duration
}

// Stopped is a planned stop with the requests that it cut.
type Stopped struct {
	Node string
	Cut  int
}

func newHistory(world *World) *History {
	return &History{
		world: world, runs: map[string]int{}, tokens: map[string][]VersionRun{}, trainings: map[string]int{},
		puts: map[uint64]*v1.Set{}, marks: map[string]int{}, written: map[uint64]time.Duration{},
	}
}

func (h *History) at() time.Duration { return h.world.Scheduler.Elapsed() }

func (h *History) ended(asked CallerRequest, answer *CallerAnswer, reached bool) {
	end := RequestEnd{Asked: asked, Answer: answer, Reached: reached, Expected: h.world.expectedText(asked.Prompt, 0, asked.MaxTokens), At: h.at()}
	h.requests = append(h.requests, end)
	if answer == nil {
		h.world.Trace("caller got no answer to %q", asked.Prompt)
		return
	}
	if answer.Outcome == wire.OutcomeDone {
		h.answered++
	}
	h.world.Trace("caller got %d for %q from %s: %v", answer.Outcome, asked.Prompt, answer.RequestID, answer.Err)
}

func (h *History) admitted(name string, request engine.Request, leaving bool) {
	anew := request.ResumeTokens == 0 && request.KVHandle == ""
	h.admissions = append(h.admissions, Admission{Engine: name, ID: request.ID, Prompt: request.Prompt, Anew: anew, Leaving: leaving, At: h.at()})
	if anew {
		h.runs[request.Prompt]++
	}
	h.world.Trace("engine %s admitted %s", name, request.ID)
}

func (h *History) produced(output enginemodel.Output) {
	h.tokens[output.ID] = append(h.tokens[output.ID], VersionRun{ID: output.ID, First: output.First, Count: output.Count, Version: output.Version})
}

func (h *History) activated(name string, version int64) {
	h.world.Trace("engine %s runs version %d", name, version)
}

func (h *History) delivered(trainer *Trainer, step uint64, body []byte, bound int64) {
	delivery := Delivery{Trainer: trainer.config.Name, Step: step, Expected: trainer.config.Prompts * trainer.config.Samples, Body: body, At: h.at(), Bound: bound}
	lines := bytes.Split(bytes.TrimSpace(body), []byte("\n"))
	h.decode(lines[0], &delivery.Manifest)
	for _, line := range lines[1:] {
		var sample rollout.Sample
		h.decode(line, &sample)
		delivery.Samples = append(delivery.Samples, sample)
	}
	h.deliveries = append(h.deliveries, delivery)
	h.world.Trace("trainer %s got step %d revision %d", trainer.config.Name, step, delivery.Manifest.Revision)
}

// decode reads a line of a delivery. One that cannot be read is traced
// and left empty, so that the checks find it.
func (h *History) decode(line []byte, into any) {
	if err := json.Unmarshal(line, into); err != nil {
		h.world.Trace("delivery is not readable: %v", err)
	}
}

// boundAt is the trainer's bound in the generation that a node applied last.
func (h *History) boundAt(node string) int64 {
	for i := len(h.applies) - 1; i >= 0; i-- {
		if h.applies[i].Node != node {
			continue
		}
		for _, trainer := range v1.All[*v1.Trainer](h.puts[h.applies[i].Generation]) {
			return trainer.Spec.MaxStaleness
		}
	}
	return 0
}

func (h *History) trained(name string, step uint64) {
	h.trainings[fmt.Sprintf("%s/%d", name, step)]++
	h.world.Trace("trainer trained step %d", step)
}

func (h *History) put(generation uint64, set *v1.Set) {
	h.puts[generation] = set
	h.written[generation] = h.at()
	for _, limit := range v1.All[*v1.Limit](set) {
		if mark := limit.Metadata.Labels[markLabel]; mark != "" {
			if previous := h.puts[generation-1]; previous != nil && markOf(previous) == mark {
				continue
			}
			h.marks[mark]++
		}
	}
	h.world.Trace("generation %d written", generation)
}

func markOf(set *v1.Set) string {
	for _, limit := range v1.All[*v1.Limit](set) {
		return limit.Metadata.Labels[markLabel]
	}
	return ""
}

func (h *History) wrote(mark string, generation uint64) {
	h.writes = append(h.writes, Write{Mark: mark, Generation: generation})
}

func (h *History) conflicted(mark string, named int) {
	h.writes = append(h.writes, Write{Mark: mark, Conflict: true, Named: named})
}

func (h *History) applied(node string, life int, generation uint64) {
	h.applies = append(h.applies, Applied{Node: node, Life: life, Generation: generation, Order: len(h.applies) + len(h.servings), At: h.at()})
	h.world.Trace("node %s applied generation %d", node, generation)
}

func (h *History) served(node string, generation uint64) {
	h.servings = append(h.servings, Applied{Node: node, Generation: generation, Order: len(h.applies) + len(h.servings), At: h.at()})
}

func (h *History) signed(engine string) {
	h.signs = append(h.signs, Sign{Engine: engine, At: h.at()})
	h.world.Trace("engine %s is known to leave", engine)
}

func (h *History) dispatched(node, engine string) {
	h.dispatches = append(h.dispatches, Dispatched{Node: node, Engine: engine, At: h.at()})
}

func (h *History) stopped(node string, cut int) {
	h.stops = append(h.stops, Stopped{Node: node, Cut: cut})
	h.world.Trace("node %s stopped, cut %d", node, cut)
}
