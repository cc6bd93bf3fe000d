package sim

import (
	"fmt"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"

	"github.com/pathtally/pathtally/internal/replicas/routing"
	"github.com/pathtally/pathtally/internal/standalone/engine"
	"github.com/pathtally/pathtally/internal/standalone/engineplan"
	"github.com/pathtally/pathtally/internal/standalone/node"
	"github.com/pathtally/pathtally/internal/standalone/quorum"
	"github.com/pathtally/pathtally/internal/standalone/request"
	"github.com/pathtally/pathtally/internal/wire"
)

var errScorer = merry.Sentinel("scorer failed")

// CallerRequest is a request as a caller sends it to a node.
type CallerRequest struct {
	Group     string
	Prompt    string
	Key       string
	MaxTokens int
	Deadline  time.Time
}

// CallerAnswer is what a node answers.
type CallerAnswer struct {
	RequestID string
	Outcome   uint8
	Err       error
	Text      string
	Tokens    int
	// RetryAfter tells whether the answer said when to come back.
	RetryAfter time.Duration
}

// Gateway drives request machines on a simulated node, as the HTTP gateway
// does on a real one.
type Gateway struct {
	node     *Node
	open     int
	sequence int
	refusing bool
	calls    map[*gatewayCall]bool
}

func newGateway(owner *Node) *Gateway { return &Gateway{node: owner, calls: map[*gatewayCall]bool{}} }

// gatewayCall is one request under way.
type gatewayCall struct {
	gateway  *Gateway
	id       string
	group    *engineplan.GroupPlan
	machine  *request.Machine
	asked    CallerRequest
	endpoint *routing.Endpoint
	cancel   func()
	dispatch int
	open     bool
	granted  bool
	answer   func(CallerAnswer)
}

// cut forgets all requests of a life that has ended.
func (g *Gateway) cut() { g.calls = map[*gatewayCall]bool{} }

func (g *Gateway) submit(asked CallerRequest, answer func(CallerAnswer)) {
	g.sequence++
	id := fmt.Sprintf("%s-%d-%d", g.node.host.Name, g.node.host.life, g.sequence)
	snapshot := g.node.core.Snapshot()
	if snapshot == nil || g.refusing || !g.node.core.Ready() {
		answer(CallerAnswer{RequestID: id, Outcome: wire.OutcomeNotRun, Err: merry.Wrap(node.ErrNotReady), RetryAfter: time.Second})
		return
	}
	g.node.world.History.served(g.node.host.Name, snapshot.Generation)
	group := snapshot.Groups[asked.Group]
	call := &gatewayCall{gateway: g, id: id, group: group, asked: asked, answer: answer}
	call.machine = request.New(request.Config{
		Unsafe: asked.Key != "",
		Claim:  quorum.Claim{Key: asked.Group + "/" + asked.Key, Attempt: id, Fingerprint: xxhash.Sum64String(asked.Prompt), Deadline: asked.Deadline},
		Request: engine.Request{
			ID: id, Model: group.Group.Spec.Model, Prompt: asked.Prompt, MaxTokens: asked.MaxTokens, Priority: group.Group.Spec.Priority,
			Deadline: asked.Deadline, ChunkTokens: 1,
		},
	})
	g.open++
	g.calls[call] = true
	g.node.host.AfterFunc(asked.Deadline.Sub(g.node.host.Now()), func() { call.event(request.DeadlinePassed{}) })
	call.event(request.Begin{})
}

func (c *gatewayCall) event(event request.Event) {
	if c.gateway.calls[c] {
		c.act(c.machine.Handle(event))
	}
}

func (c *gatewayCall) act(action request.Action) {
	switch typed := action.(type) {
	case request.Claim:
		c.gateway.node.core.Quorum().Grant(typed.Claim, func(result quorum.GrantResult, err error) {
			c.granted = result.Granted
			c.event(request.ClaimResult{Result: result, Err: err})
		})
	case request.Dispatch:
		c.send(typed)
	case request.Finish:
		c.finish(typed.Result)
	}
}

func (c *gatewayCall) send(dispatch request.Dispatch) {
	c.closeStream()
	host := c.gateway.node.host
	if host.Now().After(c.asked.Deadline) {
		c.event(request.NoEngine{Err: merry.Wrap(request.ErrDeadline)})
		return
	}
	query := routing.Query{Zone: host.Zone, PrefixHash: xxhash.Sum64String(c.asked.Prompt), Random: c.gateway.node.world.Scheduler.Random.Uint64()}
	if c.endpoint != nil {
		query.Avoid = c.endpoint.Name
	}
	endpoint, err := c.group.Plan.Pick(&query)
	if err != nil {
		c.event(request.NoEngine{Err: err})
		return
	}
	c.endpoint, c.open = endpoint, true
	endpoint.State.InFlight.Add(1)
	c.dispatch++
	number := c.dispatch
	client := &engineClient{world: c.gateway.node.world, host: host}
	c.cancel = client.Start(endpoint.Address, dispatch.Request, func(event engine.Event) {
		if number == c.dispatch {
			if _, chunk := event.(engine.Chunk); !chunk {
				c.closeStream()
			}
			c.event(event)
		}
	})
}

func (c *gatewayCall) closeStream() {
	if c.open {
		c.open = false
		c.endpoint.State.InFlight.Add(-1)
	}
}

func (c *gatewayCall) finish(result request.Result) {
	delete(c.gateway.calls, c)
	c.gateway.open--
	c.closeStream()
	if result.Cancel && c.cancel != nil {
		c.cancel()
	}
	answer := CallerAnswer{RequestID: c.id, Outcome: result.Outcome, Err: result.Err, Text: result.Text, Tokens: result.Tokens, RetryAfter: result.RetryAfter}
	client := c.gateway.node.core.Quorum()
	switch {
	case result.StoredResponse != nil:
		answer.Text = string(result.StoredResponse)
	case c.granted && result.Outcome == wire.OutcomeNotRun:
		client.Withdraw(c.machine.Claim())
	case c.granted:
		client.Complete(c.machine.Claim(), result.Outcome, []byte(result.Text))
	}
	c.answer(answer)
}
