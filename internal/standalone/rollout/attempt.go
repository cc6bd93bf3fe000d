package rollout

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pathtally/pathtally/internal/replicas/routing"
	"github.com/pathtally/pathtally/internal/standalone/engine"
	"github.com/pathtally/pathtally/internal/standalone/engineplan"
	"github.com/pathtally/pathtally/internal/standalone/request"
)

// attempt is one run to generate the sample of a slot. Attempts for a slot may
// run concurrently; the first to finish wins.
type attempt struct {
	slot     *slot
	machine  *request.Machine
	endpoint *routing.Endpoint
	id       string
	cancel   func()
	// stream numbers the attempt's streams; events of earlier ones are ignored.
	stream int
	// parked is the dispatch that waits for an engine with capacity, or nil.
	parked  *request.Dispatch
	started time.Time
	moves   int
	moving  bool
	ended   bool
}

// dispatchPending dispatches parked attempts and pending slots while engines
// have capacity.
func (s *Scheduler) dispatchPending() {
	plan := s.plan()
	if s.stopped || plan == nil {
		return
	}
	s.dispatchParked()
	policy := s.policy()
	ahead := policy.stepsAhead()
	defer func() { s.reorder = false }()
	position := 0
	for _, step := range s.openSteps() {
		if position > ahead {
			return
		}
		if step.phase == phaseGenerating && !s.dispatchStep(step, plan, policy, position) {
			return
		}
		position++
	}
}

// dispatchStep dispatches the pending slots of one step. It returns false if
// no engine has capacity.
func (s *Scheduler) dispatchStep(step *stepState, plan *engineplan.TrainerPlan, policy samplePolicy, position int) bool {
	now := s.config.Clock.Now()
	if s.reorder {
		s.sortPending(step)
	}
	queue := step.pending
	step.pending = nil
	var waiting []*slot
	hasCapacity := true
	for _, next := range queue {
		if !hasCapacity || next.notBefore.After(now) {
			waiting = append(waiting, next)
			continue
		}
		endpoint, err := plan.Plan.Pick(s.query(next, ""))
		if err != nil {
			hasCapacity = false
			waiting = append(waiting, next)
			continue
		}
		s.start(next, endpoint, policy.priority(position))
	}
	// An attempt that failed synchronously has already requeued its slot.
	step.pending = append(waiting, step.pending...)
	return hasCapacity
}

func (s *Scheduler) query(next *slot, avoid string) *routing.Query {
	// A running sample may move to any engine within the staleness bound; the
	// policy's stricter limit applies only to its start.
	minVersion := s.minVersion(next.step)
	if avoid == "" {
		minVersion = max(minVersion, s.policy().minStartVersion(next.step.request.TrainVersion))
	}
	return &routing.Query{
		Zone:         s.config.Zone,
		PrefixHash:   xxhash.Sum64String(next.prompt),
		MinVersion:   minVersion,
		Avoid:        avoid,
		Random:       s.config.Random.Uint64(),
		Rollout:      true,
		MaxLoadShare: maxLoadShare,
	}
}

func (s *Scheduler) start(next *slot, endpoint *routing.Endpoint, priority int) {
	next.lastAttempt++
	next.state = slotRunning
	step := next.step
	plan := s.plan()
	id := fmt.Sprintf("%s/%d/%d/%d.%d", s.config.Trainer, step.request.Step, next.index, s.config.Token, next.lastAttempt)
	launched := &attempt{slot: next, id: id, started: s.config.Clock.Now()}
	launched.machine = request.New(request.Config{
		Attempts: maxDispatches,
		Request: engine.Request{
			ID:          id,
			Model:       plan.Trainer.Spec.Model,
			Prompt:      next.prompt,
			MaxTokens:   step.request.MaxTokens,
			Seed:        step.request.Seed ^ uint64(next.index),
			Priority:    priority,
			ChunkTokens: chunkTokens,
		},
	})
	next.attempts = append(next.attempts, launched)
	s.execute(launched, launched.machine.Handle(request.Begin{}), endpoint)
}

// execute carries out an action of the attempt's state machine. A dispatch
// goes to the given endpoint; if that is nil, one is picked.
func (s *Scheduler) execute(running *attempt, action request.Action, endpoint *routing.Endpoint) {
	switch typed := action.(type) {
	case request.Dispatch:
		s.dispatch(running, typed, endpoint)
	case request.Forward:
		s.checkStaleness(running)
	case request.Finish:
		s.handleResult(running, typed.Result)
	}
}

// dispatch sends an attempt to an engine, or parks it if none has capacity.
func (s *Scheduler) dispatch(running *attempt, dispatch request.Dispatch, endpoint *routing.Endpoint) {
	if endpoint == nil {
		endpoint = s.pickAnother(running)
	}
	if endpoint == nil {
		// The machine keeps the tokens generated so far.
		running.parked = &dispatch
		s.parked = append(s.parked, running)
		return
	}
	s.run(running, dispatch, endpoint)
}

// pickAnother picks an engine other than the attempt's current one. It returns
// nil if none has capacity.
func (s *Scheduler) pickAnother(running *attempt) *routing.Endpoint {
	avoid := ""
	if running.endpoint != nil {
		avoid = running.endpoint.Name
	}
	running.endpoint = nil
	picked, err := s.plan().Plan.Pick(s.query(running.slot, avoid))
	if err != nil {
		return nil
	}
	return picked
}

// run starts the attempt's next stream at an engine.
func (s *Scheduler) run(running *attempt, dispatch request.Dispatch, endpoint *routing.Endpoint) {
	running.endpoint = endpoint
	running.stream++
	running.moving = false
	endpoint.State.InFlight.Add(1)
	dispatch.Request.Deadline = s.config.Clock.Now().Add(sampleDeadline)
	number, open := running.stream, true
	closeStream := func() {
		if open {
			open = false
			endpoint.State.InFlight.Add(-1)
		}
	}
	cancel := s.config.Engines.Start(endpoint.Address, dispatch.Request, func(event engine.Event) {
		if _, isChunk := event.(engine.Chunk); !isChunk {
			closeStream()
			s.countFailure(endpoint, event)
		}
		if !running.ended && !s.stopped && number == running.stream {
			s.execute(running, running.machine.Handle(event), nil)
		}
	})
	running.cancel = func() {
		closeStream()
		cancel()
	}
}

func (s *Scheduler) countFailure(endpoint *routing.Endpoint, event engine.Event) {
	if _, failed := event.(*engine.Error); failed {
		endpoint.State.Failures.Add(1)
		return
	}
	endpoint.State.Failures.Store(0)
}

func (s *Scheduler) dispatchParked() {
	parked := s.parked
	s.parked = nil
	for _, waiting := range parked {
		if waiting.ended || waiting.parked == nil {
			continue
		}
		dispatch := *waiting.parked
		waiting.parked = nil
		s.dispatch(waiting, dispatch, nil)
	}
}
