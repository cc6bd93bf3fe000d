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
}

// GrantResult is the answer to Grant.
type GrantResult struct {
	// Granted means that this attempt alone may be dispatched.
	Granted bool
	// Holder is the claim that stands in the way, if one does.
	Holder *wire.ClaimReply
}

// Grant asks a majority to let an attempt run. When it is not granted the
// attempt has been withdrawn and must never be dispatched.
func (c *Client) Grant(claim Claim, done func(GrantResult, error)) {
	if c.view == nil {
		done(GrantResult{}, merry.Wrap(ErrNoMajority))
		return
	}
	round := &grantRound{client: c, claim: claim, need: c.view.Majority(), waiting: len(c.view.Seats), done: done}
	request := &wire.ClaimRequest{Epoch: c.view.Epoch, Key: claim.Key, Attempt: claim.Attempt, Fingerprint: claim.Fingerprint, Operation: wire.ClaimGrant}
	for _, seat := range c.view.Seats {
		c.peers.Call(seat.Address, request, callTimeout, round.answered)
	}
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

// grantRound counts the answers to one Grant.
type grantRound struct {
	client   *Client
	claim    Claim
	need     int
	waiting  int
	granted  int
	holder   *wire.ClaimReply
	finished bool
	done     func(GrantResult, error)
}

func (r *grantRound) answered(message wire.Message, err error) {
	r.waiting--
	if reply, ok := message.(*wire.ClaimReply); err == nil && ok {
		r.count(reply)
	}
	switch {
	case r.finished:
	case r.granted >= r.need:
		r.finish(GrantResult{Granted: true}, nil)
	case r.granted+r.waiting < r.need:
		r.client.Withdraw(r.claim)
		if r.holder != nil {
			r.finish(GrantResult{Holder: r.holder}, nil)
			return
		}
		r.finish(GrantResult{}, merry.Wrap(ErrNoMajority))
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

func (r *grantRound) finish(result GrantResult, err error) {
	r.finished = true
	r.done(result, err)
}
