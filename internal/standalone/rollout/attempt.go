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

// attempt is one run at filling a slot. Attempts of a slot may race; the
// first that ends wins.
type attempt struct {
	slot     *slot
	machine  *request.Machine
	endpoint *routing.Endpoint
	id       string
	cancel   func()
	// dispatch numbers the streams, so that late events of an older one are
	// told apart.
	dispatch int
	parked   *request.Dispatch
	started  time.Time
	moves    int
	moving   bool
	ended    bool
}

// pump dispatches waiting samples while engines have room.
func (s *Scheduler) pump() {
	plan := s.plan()
	if s.stopped || plan == nil {
		return
	}
	s.pumpParked()
	policy := s.policy()
	ahead := policy.stepsAhead()
	defer func() { s.reorder = false }()
	place := 0
	for _, step := range s.openSteps() {
		if place > ahead {
			return
		}
		if step.phase == phaseGenerating && !s.pumpStep(step, plan, policy, place) {
			return
		}
		place++
	}
}

// pumpStep dispatches the waiting samples of one step; false means that no
// engine has room.
func (s *Scheduler) pumpStep(step *stepState, plan *engineplan.TrainerPlan, policy samplePolicy, place int) bool {
	now := s.config.Clock.Now()
	if s.reorder {
		s.orderPending(step)
	}
	queue := step.pending
	step.pending = nil
	var waiting []*slot
	room := true
	for _, next := range queue {
		if !room || next.notBefore.After(now) {
			waiting = append(waiting, next)
			continue
		}
		endpoint, err := plan.Plan.Pick(s.query(next, ""))
		if err != nil {
			room = false
			waiting = append(waiting, next)
			continue
		}
		s.start(next, endpoint, policy.priority(place))
	}
	// An attempt that failed at once has put its slot back meanwhile.
	step.pending = append(waiting, step.pending...)
	return room
}

func (s *Scheduler) query(next *slot, avoid string) *routing.Query {
	// A sample under way is moved within the bound; only its start has to be
	// as fresh as the policy wants.
	oldest := s.bound(next.step)
	if avoid == "" {
		oldest = max(oldest, s.policy().oldestVersion(next.step.request.TrainVersion))
	}
	return &routing.Query{
		Zone:         s.config.Zone,
		PrefixHash:   xxhash.Sum64String(next.prompt),
		MinVersion:   oldest,
		Avoid:        avoid,
		Random:       s.config.Random.Uint64(),
		Rollout:      true,
		MaxLoadShare: maxLoadShare,
	}
}

func (s *Scheduler) start(next *slot, endpoint *routing.Endpoint, priority int) {
	next.attempt++
	next.state = slotRunning
	step := next.step
	plan := s.plan()
	id := fmt.Sprintf("%s/%d/%d/%d.%d", s.config.Trainer, step.request.Step, next.index, s.config.Token, next.attempt)
	begun := &attempt{slot: next, id: id, started: s.config.Clock.Now()}
	begun.machine = request.New(request.Config{
		Attempts: sampleAttempts,
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
	next.attempts = append(next.attempts, begun)
	s.act(begun, begun.machine.Handle(request.Begin{}), endpoint)
}

// act carries out the machine's next action. The endpoint is used for a
// dispatch if given; otherwise one is picked.
func (s *Scheduler) act(running *attempt, action request.Action, endpoint *routing.Endpoint) {
	switch typed := action.(type) {
	case request.Dispatch:
		s.dispatch(running, typed, endpoint)
	case request.Forward:
		s.checkAge(running)
	case request.Finish:
		s.finished(running, typed.Result)
	}
}

// dispatch sends an attempt to an engine, or parks it where none has room.
func (s *Scheduler) dispatch(running *attempt, dispatch request.Dispatch, endpoint *routing.Endpoint) {
	if endpoint == nil {
		endpoint = s.pickAnother(running)
	}
	if endpoint == nil {
		// The tokens so far are kept until an engine has room.
		running.parked = &dispatch
		s.parked = append(s.parked, running)
		return
	}
	s.run(running, dispatch, endpoint)
}

// pickAnother picks an engine for an attempt, not the one that it was at; nil if
// none has room.
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

// run starts an attempt's next stream at an engine.
func (s *Scheduler) run(running *attempt, dispatch request.Dispatch, endpoint *routing.Endpoint) {
	running.endpoint = endpoint
	running.dispatch++
	running.moving = false
	endpoint.State.InFlight.Add(1)
	dispatch.Request.Deadline = s.config.Clock.Now().Add(sampleDeadline)
	number, open := running.dispatch, true
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
		if !running.ended && !s.stopped && number == running.dispatch {
			s.act(running, running.machine.Handle(event), nil)
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

func (s *Scheduler) pumpParked() {
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
