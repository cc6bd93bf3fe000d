package quorum

import (
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/pathtally/pathtally/internal/environment"
	"github.com/pathtally/pathtally/internal/wire"
)

// Errors returned by a Client.
var (
	// ErrNoMajority means that too few members replied or agreed.
	ErrNoMajority = merry.Sentinel("no majority of the quorum members")
	// ErrSuperseded means that a member has promised a greater ballot.
	ErrSuperseded = merry.Sentinel("superseded by a greater ballot")
)

// withdrawDelays are the delays after which a withdrawal is sent. It is sent
// several times, since a lost one blocks the key until its retention has passed.
var withdrawDelays = []time.Duration{0, time.Second, 5 * time.Second}

const (
	// grantTimeout is how long a grant is retried while no majority has agreed
	// and no other claim is known to hold the key. A claim may wait for two
	// journal syncs of a member: the one in progress and its own.
	grantTimeout = 2 * time.Second
	// grantInitialBackoff is the backoff before the first retry. It doubles with
	// each further one.
	grantInitialBackoff = 25 * time.Millisecond
)

// Client sends requests to the members of the newest view that it knows. It is
// not safe for concurrent use.
type Client struct {
	clock environment.Clock
	peers environment.Peers
	view  *View
}

// NewClient returns a client without a view.
func NewClient(clock environment.Clock, peers environment.Peers) *Client {
	return &Client{clock: clock, peers: peers}
}

// SetView sets the view unless the client knows a newer one.
func (c *Client) SetView(view *View) {
	if c.view == nil || view.Epoch > c.view.Epoch {
		c.view = view
	}
}

// View returns the newest known view, or nil.
func (c *Client) View() *View { return c.view }

// Claim identifies one attempt to run a request that is unsafe to repeat.
type Claim struct {
	Key         string
	Attempt     string
	Fingerprint uint64
	// Deadline limits the retries of a grant; zero means grantTimeout alone.
	Deadline time.Time
}

// GrantResult is the result of Grant.
type GrantResult struct {
	// Granted means that this attempt, and no other, may be dispatched.
	Granted bool
	// Holder is the claim of another attempt that holds the key, or nil.
	Holder *wire.ClaimReply
}

// Grant requests a majority's permission to dispatch an attempt. It retries with
// backoff while seats do not reply in time or do not serve the view yet; the
// view may change meanwhile. If the attempt is not granted, it has been
// withdrawn and must never be dispatched.
func (c *Client) Grant(claim Claim, done func(GrantResult, error)) {
	end := c.clock.Now().Add(grantTimeout)
	if !claim.Deadline.IsZero() && claim.Deadline.Before(end) {
		end = claim.Deadline
	}
	operation := &grantOperation{client: c, claim: claim, end: end, timeout: callTimeout, backoff: grantInitialBackoff, done: done}
	operation.startRound()
}

// Complete stores the outcome of a claim and, where it is small, the response.
// It does not wait for replies.
func (c *Client) Complete(claim Claim, outcome uint8, response []byte) {
	c.broadcast(&wire.ClaimRequest{Key: claim.Key, Attempt: claim.Attempt, Fingerprint: claim.Fingerprint, Operation: wire.ClaimComplete, Outcome: outcome, Answer: response})
}

// Withdraw frees the key of an attempt that will never be dispatched. It sends
// the withdrawal several times and does not wait for replies.
func (c *Client) Withdraw(claim Claim) {
	request := &wire.ClaimRequest{Key: claim.Key, Attempt: claim.Attempt, Operation: wire.ClaimWithdraw}
	for _, delay := range withdrawDelays {
		if delay == 0 {
			c.broadcast(request)
			continue
		}
		c.clock.AfterFunc(delay, func() { c.broadcast(request) })
	}
}

// broadcast sends a request to all seats and ignores the replies.
func (c *Client) broadcast(request *wire.ClaimRequest) {
	if c.view == nil {
		return
	}
	for _, seat := range c.view.Seats {
		c.peers.Call(seat.Address, request, callTimeout, func(wire.Message, error) {})
	}
}

// grantOperation is one call of Grant, which sends requests in rounds.
type grantOperation struct {
	client *Client
	claim  Claim
	// end is the time from which no further round starts.
	end time.Time
	// timeout is that of the next round's calls, backoff the wait before it.
	timeout time.Duration
	backoff time.Duration
	done    func(GrantResult, error)
}

// startRound sends the request to all seats of the newest known view.
func (o *grantOperation) startRound() {
	view := o.client.view
	if view == nil {
		o.retry()
		return
	}
	round := &grantRound{operation: o, needed: view.Majority(), pending: len(view.Seats)}
	request := &wire.ClaimRequest{Epoch: view.Epoch, Key: o.claim.Key, Attempt: o.claim.Attempt, Fingerprint: o.claim.Fingerprint, Operation: wire.ClaimGrant}
	for _, seat := range view.Seats {
		o.client.peers.Call(seat.Address, request, o.timeout, round.handleReply)
	}
}

// retry starts another round after a backoff, with a longer timeout. The
// operation fails instead if too little time remains or if the view does not
// grant claims before the end.
func (o *grantOperation) retry() {
	backoff, remaining := o.backoff, o.end.Sub(o.client.clock.Now())
	view := o.client.view
	if backoff >= remaining || (view != nil && view.ClaimsFrom > o.end.UnixMilli()) {
		o.fail(GrantResult{}, merry.Wrap(ErrNoMajority))
		return
	}
	o.backoff *= 2
	o.timeout = min(2*o.timeout, remaining-backoff)
	o.client.clock.AfterFunc(backoff, o.startRound)
}

// fail ends the operation without a grant. Only here is the attempt withdrawn,
// since a withdrawn attempt is never granted again.
func (o *grantOperation) fail(result GrantResult, err error) {
	o.client.Withdraw(o.claim)
	o.done(result, err)
}

// grantRound counts the replies of one round.
type grantRound struct {
	operation *grantOperation
	needed    int
	pending   int
	granted   int
	holder    *wire.ClaimReply
	finished  bool
}

// handleReply counts one reply or failed call. It ends the operation or starts a
// retry as soon as the result of the round is certain.
func (r *grantRound) handleReply(message wire.Message, err error) {
	r.pending--
	if reply, ok := message.(*wire.ClaimReply); err == nil && ok {
		r.count(reply)
	}
	switch {
	case r.finished:
	case r.granted >= r.needed:
		r.finished = true
		r.operation.done(GrantResult{Granted: true}, nil)
	case r.granted+r.pending < r.needed:
		r.finished = true
		if r.holder != nil {
			r.operation.fail(GrantResult{Holder: r.holder}, nil)
			return
		}
		r.operation.retry()
	}
}

// count records a reply. A holder that has completed takes precedence over a
// pending one.
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
