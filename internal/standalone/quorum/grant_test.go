package quorum

import (
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/pathtally/pathtally/internal/environment"
	"github.com/pathtally/pathtally/internal/standalone/recordlog"
	"github.com/pathtally/pathtally/internal/wire"
)

// stepClock is a clock advanced by the test; it runs timers in time order.
type stepClock struct {
	now    time.Time
	timers []*stepTimer
}

type stepTimer struct {
	at      time.Time
	call    func()
	stopped bool
}

func (t *stepTimer) Stop() { t.stopped = true }

func (c *stepClock) Now() time.Time { return c.now }

func (c *stepClock) AfterFunc(delay time.Duration, call func()) environment.Timer {
	timer := &stepTimer{at: c.now.Add(delay), call: call}
	c.timers = append(c.timers, timer)
	return timer
}

// run advances the clock by a duration and runs the timers that are due.
func (c *stepClock) run(span time.Duration) {
	end := c.now.Add(span)
	for {
		first := -1
		for i, timer := range c.timers {
			if !timer.at.After(end) && (first < 0 || timer.at.Before(c.timers[first].at)) {
				first = i
			}
		}
		if first < 0 {
			c.now = end
			return
		}
		timer := c.timers[first]
		c.timers = append(c.timers[:first], c.timers[first+1:]...)
		c.now = timer.at
		if !timer.stopped {
			timer.call()
		}
	}
}

// memberPeers delivers claim requests to members in the same process. A seat
// without a member never replies.
type memberPeers struct {
	clock   *stepClock
	members map[string]*Member
	// grants counts the grant requests sent.
	grants int
}

func (p *memberPeers) Send(string, wire.Message) {}

func (p *memberPeers) Broadcast([]string, wire.Message) {}

func (p *memberPeers) Call(address string, message wire.Message, timeout time.Duration, done func(wire.Message, error)) {
	finished := false
	finish := func(reply wire.Message, err error) {
		if !finished {
			finished = true
			done(reply, err)
		}
	}
	p.clock.AfterFunc(timeout, func() { finish(nil, environment.ErrPeerUnreachable) })
	request := message.(*wire.ClaimRequest)
	if request.Operation == wire.ClaimGrant {
		p.grants++
	}
	if member := p.members[address]; member != nil {
		member.HandleClaim(request, func(reply wire.Message) { finish(reply, nil) })
	}
}

// slowLog makes one record durable at a time and takes syncTime for each.
type slowLog struct {
	clock    *stepClock
	syncTime time.Duration
	freeAt   time.Time
}

func (l *slowLog) Append(_ string, _ []byte, done func(error)) {
	if l.freeAt.Before(l.clock.now) {
		l.freeAt = l.clock.now
	}
	l.freeAt = l.freeAt.Add(l.syncTime)
	l.clock.AfterFunc(l.freeAt.Sub(l.clock.now), func() { done(nil) })
}

func (l *slowLog) Remove(string) {}

func (l *slowLog) Recover() ([]recordlog.Record, error) { return nil, nil }

// grantFixture is a view of one seat with its member and a client.
type grantFixture struct {
	clock  *stepClock
	log    *slowLog
	peers  *memberPeers
	member *Member
	client *Client
	view   *View
	// results counts the calls of the grant's callback; result and err are those
	// of the last call, and took is its delay.
	results int
	result  GrantResult
	err     error
	took    time.Duration
}

func newGrantFixture(t *testing.T) *grantFixture {
	t.Helper()
	clock := &stepClock{now: time.Unix(1000, 0)}
	f := &grantFixture{clock: clock, log: &slowLog{clock: clock}}
	journal, err := OpenJournal(f.log, rand.New(rand.NewPCG(1, 1)))
	if err != nil {
		t.Fatal(err)
	}
	f.peers = &memberPeers{clock: clock, members: map[string]*Member{}}
	f.member = NewMember(MemberConfig{ID: "a", Identity: 1, Clock: clock, Peers: f.peers, Journal: journal})
	f.peers.members["a"] = f.member
	f.client = NewClient(clock, f.peers)
	f.view = &View{Epoch: 1, Seats: []Seat{seatNamed("a")}}
	return f
}

func (f *grantFixture) grant(claim Claim) {
	started := f.clock.now
	f.client.Grant(claim, func(result GrantResult, err error) {
		f.results++
		f.result, f.err, f.took = result, err, f.clock.now.Sub(started)
	})
}

// A journal sync that takes longer than callTimeout must not fail the grant.
func TestGrantRetriesDuringSlowSync(t *testing.T) {
	f := newGrantFixture(t)
	f.member.SetView(f.view)
	f.client.SetView(f.view)
	f.clock.run(time.Second)
	f.log.syncTime = callTimeout + 20*time.Millisecond
	f.grant(Claim{Key: "key", Attempt: "first"})
	f.clock.run(time.Minute)
	if f.results != 1 || !f.result.Granted {
		t.Fatalf("grant finished %d times with result %+v, error %v after %v", f.results, f.result, f.err, f.took)
	}
}

// The client may know a view before the member has made it durable; the grant
// must not fail meanwhile.
func TestGrantRetriesUntilMemberServes(t *testing.T) {
	f := newGrantFixture(t)
	f.log.syncTime = 200 * time.Millisecond
	f.member.SetView(f.view)
	f.client.SetView(f.view)
	f.grant(Claim{Key: "key", Attempt: "first"})
	f.clock.run(time.Minute)
	if f.results != 1 || !f.result.Granted {
		t.Fatalf("grant finished %d times with result %+v, error %v after %v", f.results, f.result, f.err, f.took)
	}
}

// Without a majority the grant must fail within bounded time and withdraw the
// attempt.
func TestGrantFailsWithoutMajority(t *testing.T) {
	f := newGrantFixture(t)
	f.view.Seats = append(f.view.Seats, seatNamed("b"), seatNamed("c"))
	f.member.SetView(f.view)
	f.client.SetView(f.view)
	f.clock.run(time.Second)
	f.grant(Claim{Key: "key", Attempt: "first"})
	f.clock.run(time.Minute)
	const maxWait = 3 * time.Second
	if f.results != 1 || !errors.Is(f.err, ErrNoMajority) || f.took > maxWait {
		t.Fatalf("grant finished %d times with result %+v, error %v after %v", f.results, f.result, f.err, f.took)
	}
	var replyMessage wire.Message
	f.member.HandleClaim(&wire.ClaimRequest{Epoch: 1, Key: "key", Attempt: "first"}, func(message wire.Message) { replyMessage = message })
	f.clock.run(time.Second)
	if reply, ok := replyMessage.(*wire.ClaimReply); !ok || reply.Status != wire.ClaimWithdrawn {
		t.Errorf("the attempt must be withdrawn, but a grant request got %+v", replyMessage)
	}
}

// Retries must not outlast a claim's deadline that is shorter than grantTimeout.
func TestGrantStopsAtDeadline(t *testing.T) {
	const remaining = 700 * time.Millisecond
	f := newGrantFixture(t)
	f.view.Seats = append(f.view.Seats, seatNamed("b"), seatNamed("c"))
	f.member.SetView(f.view)
	f.client.SetView(f.view)
	f.clock.run(time.Second)
	f.grant(Claim{Key: "key", Attempt: "first", Deadline: f.clock.now.Add(remaining)})
	f.clock.run(time.Minute)
	if f.results != 1 || !errors.Is(f.err, ErrNoMajority) || f.took > remaining {
		t.Fatalf("grant finished %d times with result %+v, error %v after %v", f.results, f.result, f.err, f.took)
	}
}

// A retry must use the newest view if the view changes after the first round.
func TestGrantUsesNewView(t *testing.T) {
	f := newGrantFixture(t)
	f.view.Seats = []Seat{seatNamed("gone")}
	f.client.SetView(f.view)
	f.grant(Claim{Key: "key", Attempt: "first"})
	next := &View{Epoch: 2, Seats: []Seat{seatNamed("a")}}
	f.member.SetView(next)
	f.client.SetView(next)
	f.clock.run(time.Minute)
	if f.results != 1 || !f.result.Granted {
		t.Fatalf("grant finished %d times with result %+v, error %v after %v", f.results, f.result, f.err, f.took)
	}
}

// Before the ClaimsFrom of a reset view no retry can succeed, so the grant must
// fail without one.
func TestGrantFailsBeforeClaimsFrom(t *testing.T) {
	f := newGrantFixture(t)
	f.view.ClaimsFrom = f.clock.now.Add(Retention).UnixMilli()
	f.member.SetView(f.view)
	f.client.SetView(f.view)
	f.clock.run(time.Second)
	f.grant(Claim{Key: "key", Attempt: "first"})
	f.clock.run(time.Minute)
	if f.results != 1 || !errors.Is(f.err, ErrNoMajority) || f.took > 0 || f.peers.grants != 1 {
		t.Fatalf("grant finished %d times with result %+v, error %v after %v and %d requests", f.results, f.result, f.err, f.took, f.peers.grants)
	}
}

// Backoff must bound the number of requests when the member refuses each one
// immediately.
func TestGrantBoundsRequests(t *testing.T) {
	const maxRequests = 8
	f := newGrantFixture(t)
	f.client.SetView(f.view)
	f.grant(Claim{Key: "key", Attempt: "first"})
	f.clock.run(time.Minute)
	if f.results != 1 || !errors.Is(f.err, ErrNoMajority) || f.peers.grants > maxRequests {
		t.Fatalf("grant finished %d times with result %+v, error %v after %v and %d requests", f.results, f.result, f.err, f.took, f.peers.grants)
	}
}

// An attempt must not be granted again after a copied record shows another
// attempt, which may have been dispatched.
func TestMergedClaimIsNotRegranted(t *testing.T) {
	member := newTestMember("a")
	sendClaim(member, wire.ClaimRequest{Attempt: "first"})
	member.mergeClaim(wire.ClaimRecord{Key: "key", Attempt: "dispatched"})
	if reply := sendClaim(member, wire.ClaimRequest{Attempt: "first"}); reply.Status != wire.ClaimHeld {
		t.Errorf("second grant request after the merge got %+v, want status held", reply)
	}
}
