package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"

	"github.com/pathtally/pathtally/internal/callers/admission"
	"github.com/pathtally/pathtally/internal/replicas/routing"
	"github.com/pathtally/pathtally/internal/standalone/engine"
	"github.com/pathtally/pathtally/internal/standalone/quorum"
	"github.com/pathtally/pathtally/internal/standalone/request"
)

// eventBuffer is how many events of an engine may wait for the worker.
const eventBuffer = 64

// retryAfterBudget is the advice when the retry budget is spent.
const retryAfterBudget = 2 * time.Second

// call is one request under way. It belongs to the worker that serves it.
type call struct {
	server   *Server
	id       string
	checked  *parsed
	state    *groupState
	machine  *request.Machine
	endpoint *routing.Endpoint
	events   chan engine.Event
	cancel   func()
	granted  bool
	// done is closed when the worker reads no more events.
	done chan struct{}
}

// grantAnswer is the answer of Claims.Grant.
type grantAnswer struct {
	result quorum.GrantResult
	err    error
}

// advance carries out an action and returns the next one.
func (c *call) advance(action request.Action) request.Action {
	switch typed := action.(type) {
	case request.Claim:
		return c.machine.Handle(c.claim(typed.Claim))
	case request.Dispatch:
		return c.machine.Handle(c.dispatch(typed))
	default:
		return c.machine.Handle(c.next())
	}
}

func (c *call) claim(claim quorum.Claim) request.Event {
	answers := make(chan grantAnswer, 1)
	c.server.config.Claims.Grant(claim, func(result quorum.GrantResult, err error) {
		answers <- grantAnswer{result: result, err: err}
	})
	answer := <-answers
	c.granted = answer.result.Granted
	return request.ClaimAnswered{Result: answer.result, Err: answer.err}
}

// dispatch picks an engine and sends the request to it.
func (c *call) dispatch(dispatch request.Dispatch) request.Event {
	c.closeStream()
	if time.Now().After(c.checked.deadline) {
		// Nothing has been sent, whatever a pause of this process has done.
		return request.NoEngine{Err: merry.Wrap(request.ErrDeadline)}
	}
	avoid := ""
	if c.endpoint != nil {
		avoid = c.endpoint.Name
	}
	endpoint, err := c.pick(avoid)
	if err != nil {
		return request.NoEngine{Err: err}
	}
	if dispatch.Retry && !c.payRetry(endpoint) {
		return request.NoEngine{Err: &admission.RefusedError{Reason: admission.ReasonRetries, RetryAfter: retryAfterBudget}}
	}
	if dispatch.Request.KVHandle != "" {
		c.server.config.Metrics.moved.Inc()
	}
	c.endpoint = endpoint
	c.open(endpoint, dispatch.Request)
	return c.next()
}

// pick avoids the engine that has just failed, unless it is the only one.
func (c *call) pick(avoid string) (*routing.Endpoint, error) {
	query := routing.Query{
		Zone:       c.server.config.Zone,
		PrefixHash: xxhash.Sum64String(c.checked.prompt[:min(prefixBytes, len(c.checked.prompt))]),
		Avoid:      avoid,
		Random:     rand.Uint64(),
	}
	endpoint, err := c.checked.group.Plan.Pick(&query)
	if err != nil && avoid != "" {
		query.Avoid = ""
		return c.checked.group.Plan.Pick(&query)
	}
	return endpoint, err
}

func (c *call) payRetry(endpoint *routing.Endpoint) bool {
	if !c.state.retries.Spend() || !endpoint.State.Retries.Spend() {
		return false
	}
	c.server.config.Metrics.retries.WithLabelValues(c.checked.group.Group.Metadata.Name).Inc()
	return true
}

func (c *call) open(endpoint *routing.Endpoint, dispatch engine.Request) {
	events := make(chan engine.Event, eventBuffer)
	c.events = events
	endpoint.State.InFlight.Add(1)
	c.cancel = c.server.config.Engines.Start(endpoint.Address, dispatch, func(event engine.Event) {
		select {
		case events <- event:
		case <-c.done:
		}
	})
}

// next waits for the engine's next event or the deadline.
func (c *call) next() request.Event {
	timer := time.NewTimer(time.Until(c.checked.deadline))
	defer timer.Stop()
	select {
	case event := <-c.events:
		c.count(event)
		return event
	case <-timer.C:
		return request.DeadlinePassed{}
	}
}

// count keeps the engine's counters and budgets.
func (c *call) count(event engine.Event) {
	switch event.(type) {
	case engine.Chunk:
		return
	case engine.End:
		c.endpoint.State.Failures.Store(0)
		c.endpoint.State.Retries.RecordSuccess()
		c.state.retries.RecordSuccess()
	case *engine.Error:
		c.endpoint.State.Failures.Add(1)
	}
	c.closeStream()
}

// closeStream takes the open dispatch out of the engine's count.
func (c *call) closeStream() {
	if c.events == nil {
		return
	}
	c.events = nil
	c.endpoint.State.InFlight.Add(-1)
}

// finish ends the call's side effects: the engine's work is cancelled if
// nobody waits for it, and the claim gets its outcome.
func (c *call) finish(result request.Result, answer []byte) {
	close(c.done)
	c.closeStream()
	if result.Cancel && c.cancel != nil {
		c.cancel()
	}
	if !c.granted {
		return
	}
	claim := c.machine.Claim()
	if outcomeName(result.Outcome) == OutcomeNotRun {
		c.server.config.Claims.Withdraw(claim)
		return
	}
	if len(answer) > maxStoredAnswer {
		answer = nil
	}
	c.server.config.Claims.Complete(claim, result.Outcome, answer)
}
