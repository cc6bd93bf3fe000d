package quorum

import (
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/pathtally/pathtally/internal/environment"
	"github.com/pathtally/pathtally/internal/wire"
)

// Errors of the client.
var (
	// ErrNoMajority means that too few members answered or agreed.
	ErrNoMajority = merry.Sentinel("no majority of the quorum members")
	// ErrSuperseded means that a proposer with a greater ballot is at work.
	ErrSuperseded = merry.Sentinel("superseded by a greater ballot")
)

// withdrawRetries are the waits before a withdrawal is sent again, since one
// that is lost leaves the key refused until its retention has passed.
var withdrawRetries = []time.Duration{0, time.Second, 5 * time.Second}

const (
	// grantTimeout is how long a grant is asked for again while a majority
	// has neither agreed nor refused. A claim may wait for the sync that its
	// seat's journal is at and for its own; the slowest syncs measured took
	// 0.5 s, and this is twice two of them.
	grantTimeout = 2 * time.Second
	// grantPause is the wait before the second asking, which each later one
	// doubles. It is the time of a whole short request on an idle machine.
	grantPause = 25 * time.Millisecond
)

// Client asks the members of the view in force. It belongs to one goroutine.
type Client struct {
	clock environment.Clock
	peers environment.Peers
	view  *View
}

// NewClient returns a client without a view.
func NewClient(clock environment.Clock, peers environment.Peers) *Client {
	return &Client{clock: clock, peers: peers}
}

// SetView tells of a newer view.
func (c *Client) SetView(view *View) {
	if c.view == nil || view.Epoch > c.view.Epoch {
		c.view = view
	}
}

// View returns the view in force, or nil.
func (c *Client) View() *View { return c.view }

// Claim names one attempt to run a request unsafe to repeat.
type Claim struct {
	Key         string
	Attempt     string
	Fingerprint uint64
	// Deadline ends the asking for a grant; zero sets no end of its own.
	Deadline time.Time
}

// GrantResult is the answer to Grant.
type GrantResult struct {
	// Granted means that this attempt alone may be dispatched.
	Granted bool
	// Holder is the claim that stands in the way, if one does.
	Holder *wire.ClaimReply
}

// Grant asks a majority to let an attempt run. Seats that do not answer in
// time or do not serve the view yet are asked again for a while; the view may
// change meanwhile. When it is not granted the attempt has been withdrawn and
// must never be dispatched.
func (c *Client) Grant(claim Claim, done func(GrantResult, error)) {
	end := c.clock.Now().Add(grantTimeout)
	if !claim.Deadline.IsZero() && claim.Deadline.Before(end) {
		end = claim.Deadline
	}
	asking := &grantAsking{client: c, claim: claim, end: end, timeout: callTimeout, pause: grantPause, done: done}
	asking.ask()
}

// Complete stores the outcome and, where it is small, the answer.
func (c *Client) Complete(claim Claim, outcome uint8, answer []byte) {
	c.tell(&wire.ClaimRequest{Key: claim.Key, Attempt: claim.Attempt, Fingerprint: claim.Fingerprint, Operation: wire.ClaimComplete, Outcome: outcome, Answer: answer})
}

// Withdraw frees the key of an attempt that will never be dispatched.
func (c *Client) Withdraw(claim Claim) {
	request := &wire.ClaimRequest{Key: claim.Key, Attempt: claim.Attempt, Operation: wire.ClaimWithdraw}
	for _, wait := range withdrawRetries {
		if wait == 0 {
			c.tell(request)
			continue
		}
		c.clock.AfterFunc(wait, func() { c.tell(request) })
	}
}

func (c *Client) tell(request *wire.ClaimRequest) {
	if c.view == nil {
		return
	}
	for _, seat := range c.view.Seats {
		c.peers.Call(seat.Address, request, callTimeout, func(wire.Message, error) {})
	}
}

// grantAsking is one Grant, which asks in rounds.
type grantAsking struct {
	client *Client
	claim  Claim
	// end is when no further round begins.
	end time.Time
	// timeout and pause are those of the next round and the wait before it.
	timeout time.Duration
	pause   time.Duration
	done    func(GrantResult, error)
}

// ask begins a round in the view in force.
func (a *grantAsking) ask() {
	view := a.client.view
	if view == nil {
		a.again()
		return
	}
	round := &grantRound{asking: a, need: view.Majority(), waiting: len(view.Seats)}
	request := &wire.ClaimRequest{Epoch: view.Epoch, Key: a.claim.Key, Attempt: a.claim.Attempt, Fingerprint: a.claim.Fingerprint, Operation: wire.ClaimGrant}
	for _, seat := range view.Seats {
		a.client.peers.Call(seat.Address, request, a.timeout, round.answered)
	}
}

// again asks anew after a pause, with more time to answer, as far as there is
// time left and the view is to grant claims within it.
func (a *grantAsking) again() {
	pause, left := a.pause, a.end.Sub(a.client.clock.Now())
	view := a.client.view
	if pause >= left || (view != nil && view.ClaimsFrom > a.end.UnixMilli()) {
		a.refuse(GrantResult{}, merry.Wrap(ErrNoMajority))
		return
	}
	a.pause *= 2
	a.timeout = min(2*a.timeout, left-pause)
	a.client.clock.AfterFunc(pause, a.ask)
}

// refuse ends the asking for good: only now is the attempt withdrawn, since a
// withdrawn one is never granted again.
func (a *grantAsking) refuse(result GrantResult, err error) {
	a.client.Withdraw(a.claim)
	a.done(result, err)
}

// grantRound counts the answers to one round.
type grantRound struct {
	asking   *grantAsking
	need     int
	waiting  int
	granted  int
	holder   *wire.ClaimReply
	finished bool
}

func (r *grantRound) answered(message wire.Message, err error) {
	r.waiting--
	if reply, ok := message.(*wire.ClaimReply); err == nil && ok {
		r.count(reply)
	}
	switch {
	case r.finished:
	case r.granted >= r.need:
		r.finished = true
		r.asking.done(GrantResult{Granted: true}, nil)
	case r.granted+r.waiting < r.need:
		r.finished = true
		if r.holder != nil {
			r.asking.refuse(GrantResult{Holder: r.holder}, nil)
			return
		}
		r.asking.again()
	}
}

func (r *grantRound) count(reply *wire.ClaimReply) {
	switch reply.Status {
	case wire.ClaimGranted:
		r.granted++
	case wire.ClaimHeld:
		if r.holder == nil || r.holder.Outcome == wire.OutcomePending {
			r.holder = reply
		}
	}
}
