package sim

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pathtally/pathtally/internal/standalone/engine"
	"github.com/pathtally/pathtally/internal/standalone/enginemodel"
)

const (
	statusLag      = 150 * time.Millisecond
	connectTimeout = 500 * time.Millisecond
	// resetTime is how long a broken connection goes unnoticed.
	resetTime     = 800 * time.Millisecond
	firstVersion  = 1
	stagingTime   = 300 * time.Millisecond
	fullRetryTime = 200 * time.Millisecond
)

// Engine is a simulated model engine.
type Engine struct {
	world   *World
	host    *Host
	model   *enginemodel.Model
	streams map[string]*engineStream
	exports map[string]bool
	tokens  map[string]uint64
	staged  int64
	timer   *scheduledCall
	lagging engine.Status
	lagged  time.Time
	// FailSwaps counts activations that shall leave the old weights.
	FailSwaps  int
	parameters enginemodel.Parameters
	leaving    bool
}

// engineStream is one answer on its way to a node.
type engineStream struct {
	request engine.Request
	node    *Host
	life    int
	target  int
	reason  string
	digest  *xxhash.Digest
	sink    func(engine.Event)
	// last is when the newest event arrives, to keep the order.
	last   time.Time
	broken bool
}

func newEngine(world *World, name string, where Place) *Engine {
	simulated := &Engine{world: world, host: NewHost(world.Scheduler, name, where), parameters: world.config.Parameters}
	world.Network.Add(simulated.host)
	return simulated
}

// Start begins a new life with the first weights.
func (e *Engine) Start() {
	e.host.start()
	e.model = enginemodel.New(e.parameters, firstVersion)
	e.streams = map[string]*engineStream{}
	e.exports = map[string]bool{}
	e.tokens = map[string]uint64{}
	e.staged = firstVersion
	e.leaving = false
	e.lagged = time.Time{}
}

// Crash ends the engine; its streams break.
func (e *Engine) Crash() {
	if !e.host.alive {
		return
	}
	e.host.kill()
	for _, id := range slices.Sorted(maps.Keys(e.streams)) {
		e.breakStream(e.streams[id])
	}
	e.streams = nil
}

func (e *Engine) breakStream(stream *engineStream) {
	if stream.broken {
		return
	}
	stream.broken = true
	e.world.Scheduler.After(resetTime, stream.node.bindTo(stream.life, func() {
		stream.sink(&engine.Error{Kind: engine.Broken, Address: e.host.Name, Detail: "connection reset"})
	}))
}

// Drain refuses new work and hands every stream over.
func (e *Engine) Drain() {
	if !e.host.alive {
		return
	}
	e.model.SetDraining(true)
	e.leaving = true
	e.lagged = time.Time{}
	for _, id := range e.model.IDs() {
		e.export(id)
	}
	e.distribute()
}

func (e *Engine) export(id string) {
	e.model.Advance(e.world.Scheduler.Now())
	_, found := e.model.Export(id)
	e.distribute()
	stream := e.streams[id]
	if !found || stream == nil {
		return
	}
	delete(e.streams, id)
	e.exports[id] = true
	e.send(stream, engine.Moved{KVSource: e.host.Name, KVHandle: id})
}

// send delivers an event in order, or breaks the stream when the link is cut.
func (e *Engine) send(stream *engineStream, event engine.Event) {
	if stream.broken {
		return
	}
	network := e.world.Network
	if !network.reaches(e.host.Name, stream.node.Name) {
		e.breakStream(stream)
		return
	}
	at := e.world.Scheduler.Now().Add(network.delay(e.host.Name, stream.node.Name))
	if at.Before(stream.last) {
		at = stream.last
	}
	stream.last = at
	e.world.Scheduler.After(at.Sub(e.world.Scheduler.Now()), stream.node.bindTo(stream.life, func() {
		if !stream.broken {
			stream.sink(event)
		}
	}))
}

// wake advances the model and plans the next time it has something to say.
func (e *Engine) wake() {
	now := e.world.Scheduler.Now()
	e.model.Advance(now)
	e.distribute()
	if e.timer != nil {
		e.timer.Stop()
	}
	if next, busy := e.model.Next(); busy {
		e.timer = e.world.Scheduler.After(next.Sub(now), e.host.bind(e.wake))
	}
}

func (e *Engine) distribute() {
	for _, output := range e.model.Take() {
		stream := e.streams[output.ID]
		if stream == nil {
			continue
		}
		text := enginemodel.Text(stream.request.Prompt, output.First, output.Count)
		stream.digest.WriteString(text)
		if output.Count > 0 {
			e.world.History.produced(output)
			e.send(stream, engine.Chunk{First: output.First, Count: output.Count, Text: text, Version: output.Version})
		}
		if output.Ended {
			delete(e.streams, output.ID)
			e.send(stream, engine.End{Tokens: output.First + output.Count, Digest: stream.digest.Sum64(), Reason: stream.reason})
		}
	}
}

// admit takes a request in or refuses it.
func (e *Engine) admit(node *Host, life int, request engine.Request, sink func(engine.Event)) {
	now := e.world.Scheduler.Now()
	stream := &engineStream{request: request, node: node, life: life, sink: sink, digest: xxhash.New(), reason: "stop"}
	if now.After(request.Deadline) {
		e.send(stream, &engine.Error{Kind: engine.Refused, Address: e.host.Name, Detail: "deadline passed"})
		return
	}
	natural := e.world.config.Lengths.Draw(xxhash.Sum64String(request.Prompt), request.Seed)
	stream.target = min(natural, request.MaxTokens)
	if natural > request.MaxTokens {
		stream.reason = "length"
	}
	stream.digest.WriteString(request.Resume)
	imported := request.KVHandle != "" && e.world.takeExport(request.KVSource, request.KVHandle)
	err := e.model.Submit(now, enginemodel.Sequence{
		ID: request.ID, PromptTokens: enginemodel.PromptTokens(request.Prompt), PrefixHash: xxhash.Sum64String(request.Prompt),
		Produced: request.ResumeTokens, Target: max(stream.target, request.ResumeTokens), Priority: request.Priority, ChunkTokens: request.ChunkTokens, Imported: imported,
	})
	if err != nil {
		e.send(stream, &engine.Error{Kind: engine.Refused, Address: e.host.Name, Detail: err.Error(), RetryAfter: fullRetryTime})
		return
	}
	e.world.History.admitted(e.host.Name, request, e.leaving)
	e.streams[request.ID] = stream
	if e.world.loseAdmission() {
		e.breakStream(stream)
	}
	e.wake()
}

func (e *Engine) cancel(id string) {
	e.model.Advance(e.world.Scheduler.Now())
	e.model.Cancel(id)
	e.distribute()
	delete(e.streams, id)
}

// order carries out a fenced instruction.
func (e *Engine) order(order engine.Order) (engine.Status, error) {
	if order.Token < e.tokens[order.Scope] {
		e.world.Trace("engine %s refused token %d of %s", e.host.Name, order.Token, order.Scope)
		return engine.Status{}, &engine.Error{Kind: engine.Refused, Address: e.host.Name, Detail: "stale token"}
	}
	e.tokens[order.Scope] = order.Token
	switch order.Action {
	case engine.ActionStage:
		e.host.AfterFunc(stagingTime, func() { e.staged = max(e.staged, order.Version) })
	case engine.ActionActivate:
		if order.Version > e.staged {
			return engine.Status{}, &engine.Error{Kind: engine.Refused, Address: e.host.Name, Detail: fmt.Sprintf("version %d is not staged", order.Version)}
		}
		if e.FailSwaps > 0 {
			e.FailSwaps--
			break
		}
		e.model.Activate(e.world.Scheduler.Now(), order.Version)
		e.world.History.activated(e.host.Name, order.Version)
		e.wake()
	}
	return e.status(), nil
}

func (e *Engine) status() engine.Status {
	return engine.Status{Running: e.model.Running(), Waiting: e.model.Waiting(), Version: e.model.Version(), Staged: e.staged, Draining: e.model.Draining()}
}

func (e *Engine) laggedStatus() engine.Status {
	now := e.world.Scheduler.Now()
	if now.Sub(e.lagged) > statusLag {
		e.lagging, e.lagged = e.status(), now
	}
	return e.lagging
}

// dropStreams cancels what a node that is gone has asked for.
func (e *Engine) dropStreams(node *Host, life int) {
	for _, id := range slices.Sorted(maps.Keys(e.streams)) {
		if e.streams[id].node == node && e.streams[id].life == life && !e.streams[id].broken {
			e.streams[id].broken = true
			e.cancel(id)
		}
	}
}
