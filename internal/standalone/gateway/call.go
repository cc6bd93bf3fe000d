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

// eventBuffer is the capacity, in events, of the channel from an engine to the
// worker.
const eventBuffer = 64

// budgetRetryAfter is the Retry-After sent when the retry budget is exhausted.
const budgetRetryAfter = 2 * time.Second

// call is one request in flight. Only the worker that serves it may use it.
type call struct {
	server   *Server
	id       string
	parsed   *parsedRequest
	state    *groupState
	machine  *request.Machine
	endpoint *routing.Endpoint
	events   chan engine.Event
	cancel   func()
	granted  bool
	// done is closed when the worker stops reading events.
	done chan struct{}
}

// grantReply holds the arguments of the callback of Claims.Grant.
type grantReply struct {
	result quorum.GrantResult
	err    error
}

// advance executes an action and returns the next one.
func (c *call) advance(action request.Action) request.Action {
	switch typed := action.(type) {
	case request.Claim:
		return c.machine.Handle(c.claim(typed.Claim))
	case request.Dispatch:
		return c.machine.Handle(c.dispatch(typed))
	default:
		return c.machine.Handle(c.nextEvent())
	}
}

func (c *call) claim(claim quorum.Claim) request.Event {
	replies := make(chan grantReply, 1)
	c.server.config.Claims.Grant(claim, func(result quorum.GrantResult, err error) {
		replies <- grantReply{result: result, err: err}
	})
	reply := <-replies
	c.granted = reply.result.Granted
	return request.ClaimResult{Result: reply.result, Err: reply.err}
}

// dispatch picks an engine and sends the request to it.
func (c *call) dispatch(dispatch request.Dispatch) request.Event {
	c.releaseEngine()
	if time.Now().After(c.parsed.deadline) {
		// This dispatch has not been sent. The check covers a pause of this
		// process that outlasted the deadline.
		return request.NoEngine{Err: merry.Wrap(request.ErrDeadline)}
	}
	avoid := ""
	if c.endpoint != nil {
		avoid = c.endpoint.Name
	}
	endpoint, err := c.pickEngine(avoid)
	if err != nil {
		return request.NoEngine{Err: err}
	}
	if dispatch.Retry && !c.spendRetry(endpoint) {
		return request.NoEngine{Err: &admission.RefusedError{Reason: admission.ReasonRetries, RetryAfter: budgetRetryAfter}}
	}
	if dispatch.Request.KVHandle != "" {
		c.server.config.Metrics.moved.Inc()
	}
	c.endpoint = endpoint
	c.startDispatch(endpoint, dispatch.Request)
	return c.nextEvent()
}

// pickEngine avoids the engine of the previous dispatch unless no other engine
// is available.
func (c *call) pickEngine(avoid string) (*routing.Endpoint, error) {
	query := routing.Query{
		Zone:       c.server.config.Zone,
		PrefixHash: xxhash.Sum64String(c.parsed.prompt[:min(prefixBytes, len(c.parsed.prompt))]),
		Avoid:      avoid,
		Random:     rand.Uint64(),
	}
	endpoint, err := c.parsed.group.Plan.Pick(&query)
	if err != nil && avoid != "" {
		query.Avoid = ""
		return c.parsed.group.Plan.Pick(&query)
	}
	return endpoint, err
}

func (c *call) spendRetry(endpoint *routing.Endpoint) bool {
	if !c.state.retries.Spend() || !endpoint.State.Retries.Spend() {
		return false
	}
	c.server.config.Metrics.retries.WithLabelValues(c.parsed.group.Group.Metadata.Name).Inc()
	return true
}

func (c *call) startDispatch(endpoint *routing.Endpoint, dispatch engine.Request) {
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

// nextEvent waits for the engine's next event or the deadline.
func (c *call) nextEvent() request.Event {
	timer := time.NewTimer(time.Until(c.parsed.deadline))
	defer timer.Stop()
	select {
	case event := <-c.events:
		c.recordEvent(event)
		return event
	case <-timer.C:
		return request.DeadlinePassed{}
	}
}

// recordEvent updates the failure count and retry budgets, and releases the
// engine at the end of a dispatch.
func (c *call) recordEvent(event engine.Event) {
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
	c.releaseEngine()
}

// releaseEngine removes the open dispatch from the engine's in-flight count.
func (c *call) releaseEngine() {
	if c.events == nil {
		return
	}
	c.events = nil
	c.endpoint.State.InFlight.Add(-1)
}

// finish cancels a dispatch that may still be running and completes or withdraws
// the claim. It must be called at most once.
func (c *call) finish(result request.Result, response []byte) {
	close(c.done)
	c.releaseEngine()
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
	if len(response) > maxStoredResponse {
		response = nil
	}
	c.server.config.Claims.Complete(claim, result.Outcome, response)
}
