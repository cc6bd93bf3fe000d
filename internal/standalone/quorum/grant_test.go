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

// stepClock runs timers in the order of their time.
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

// run goes on for a span of time.
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

// memberPeers hands claims to members in the same process. A seat without a
// member is silent.
type memberPeers struct {
	clock   *stepClock
	members map[string]*Member
	// grants counts the grants asked for.
	grants int
}

func (p *memberPeers) Send(string, wire.Message) {}

func (p *memberPeers) Broadcast([]string, wire.Message) {}

func (p *memberPeers) Call(address string, message wire.Message, timeout time.Duration, done func(wire.Message, error)) {
	ended := false
	end := func(answer wire.Message, err error) {
		if !ended {
			ended = true
			done(answer, err)
		}
	}
	p.clock.AfterFunc(timeout, func() { end(nil, environment.ErrPeerUnreachable) })
	request := message.(*wire.ClaimRequest)
	if request.Operation == wire.ClaimGrant {
		p.grants++
	}
	if member := p.members[address]; member != nil {
		member.HandleClaim(request, func(answer wire.Message) { end(answer, nil) })
	}
}

// slowLog makes one record durable at a time, each after the same span.
type slowLog struct {
	clock *stepClock
	span  time.Duration
	free  time.Time
}

func (l *slowLog) Append(_ string, _ []byte, done func(error)) {
	if l.free.Before(l.clock.now) {
		l.free = l.clock.now
	}
	l.free = l.free.Add(l.span)
	l.clock.AfterFunc(l.free.Sub(l.clock.now), func() { done(nil) })
}

func (l *slowLog) Remove(string) {}

func (l *slowLog) Recover() ([]recordlog.Record, error) { return nil, nil }

// grantWorld is a view of one seat, as it stands while the first node is alone,
// with a client that asks it.
type grantWorld struct {
	clock  *stepClock
	log    *slowLog
	peers  *memberPeers
	member *Member
	client *Client
	view   *View
	// answers is how often the grant was answered, with the last answer.
	answers int
	result  GrantResult
	err     error
	took    time.Duration
}

func newGrantWorld(t *testing.T) *grantWorld {
	t.Helper()
	clock := &stepClock{now: time.Unix(1000, 0)}
	w := &grantWorld{clock: clock, log: &slowLog{clock: clock}}
	journal, err := OpenJournal(w.log, rand.New(rand.NewPCG(1, 1)))
	if err != nil {
		t.Fatal(err)
	}
	w.peers = &memberPeers{clock: clock, members: map[string]*Member{}}
	w.member = NewMember(MemberConfig{ID: "a", Identity: 1, Clock: clock, Peers: w.peers, Journal: journal})
	w.peers.members["a"] = w.member
	w.client = NewClient(clock, w.peers)
	w.view = &View{Epoch: 1, Seats: []Seat{seatNamed("a")}}
	return w
}

func (w *grantWorld) grant(claim Claim) {
	began := w.clock.now
	w.client.Grant(claim, func(result GrantResult, err error) {
		w.answers++
		w.result, w.err, w.took = result, err, w.clock.now.Sub(began)
	})
}

// TestGrantOutlastsASlowSync has the only seat's journal take longer for a
// sync than one message to a member may take.
func TestGrantOutlastsASlowSync(t *testing.T) {
	w := newGrantWorld(t)
	w.member.SetView(w.view)
	w.client.SetView(w.view)
	w.clock.run(time.Second)
	w.log.span = callTimeout + 20*time.Millisecond
	w.grant(Claim{Key: "key", Attempt: "first"})
	w.clock.run(time.Minute)
	if w.answers != 1 || !w.result.Granted {
		t.Fatalf("%d answers, %+v, %v after %v", w.answers, w.result, w.err, w.took)
	}
}

// TestGrantWaitsForAMemberThatBeginsToServe has the view known to the client
// before the member has made it durable.
func TestGrantWaitsForAMemberThatBeginsToServe(t *testing.T) {
	w := newGrantWorld(t)
	w.log.span = 200 * time.Millisecond
	w.member.SetView(w.view)
	w.client.SetView(w.view)
	w.grant(Claim{Key: "key", Attempt: "first"})
	w.clock.run(time.Minute)
	if w.answers != 1 || !w.result.Granted {
		t.Fatalf("%d answers, %+v, %v after %v", w.answers, w.result, w.err, w.took)
	}
}

// TestGrantIsRefusedOnceAMajorityStaysSilent bounds how long a caller is held,
// and checks that the attempt refused is withdrawn.
func TestGrantIsRefusedOnceAMajorityStaysSilent(t *testing.T) {
	w := newGrantWorld(t)
	w.view.Seats = append(w.view.Seats, seatNamed("b"), seatNamed("c"))
	w.member.SetView(w.view)
	w.client.SetView(w.view)
	w.clock.run(time.Second)
	w.grant(Claim{Key: "key", Attempt: "first"})
	w.clock.run(time.Minute)
	const longest = 3 * time.Second
	if w.answers != 1 || !errors.Is(w.err, ErrNoMajority) || w.took > longest {
		t.Fatalf("%d answers, %+v, %v after %v", w.answers, w.result, w.err, w.took)
	}
	var answer wire.Message
	w.member.HandleClaim(&wire.ClaimRequest{Epoch: 1, Key: "key", Attempt: "first"}, func(message wire.Message) { answer = message })
	w.clock.run(time.Second)
	if reply, ok := answer.(*wire.ClaimReply); !ok || reply.Status != wire.ClaimWithdrawn {
		t.Errorf("the attempt refused got %+v", answer)
	}
}

// TestGrantAsksNoLongerThanItsDeadline has a request with less time than a
// grant would be asked for.
func TestGrantAsksNoLongerThanItsDeadline(t *testing.T) {
	const span = 700 * time.Millisecond
	w := newGrantWorld(t)
	w.view.Seats = append(w.view.Seats, seatNamed("b"), seatNamed("c"))
	w.member.SetView(w.view)
	w.client.SetView(w.view)
	w.clock.run(time.Second)
	w.grant(Claim{Key: "key", Attempt: "first", Deadline: w.clock.now.Add(span)})
	w.clock.run(time.Minute)
	if w.answers != 1 || !errors.Is(w.err, ErrNoMajority) || w.took > span {
		t.Fatalf("%d answers, %+v, %v after %v", w.answers, w.result, w.err, w.took)
	}
}

// TestGrantFollowsTheView has the view change after the first round.
func TestGrantFollowsTheView(t *testing.T) {
	w := newGrantWorld(t)
	w.view.Seats = []Seat{seatNamed("gone")}
	w.client.SetView(w.view)
	w.grant(Claim{Key: "key", Attempt: "first"})
	next := &View{Epoch: 2, Seats: []Seat{seatNamed("a")}}
	w.member.SetView(next)
	w.client.SetView(next)
	w.clock.run(time.Minute)
	if w.answers != 1 || !w.result.Granted {
		t.Fatalf("%d answers, %+v, %v after %v", w.answers, w.result, w.err, w.took)
	}
}

// TestGrantIsRefusedAtOnceWhileClaimsRest has a view that started over: no
// claim is granted in it before its time, however often one asks.
func TestGrantIsRefusedAtOnceWhileClaimsRest(t *testing.T) {
	w := newGrantWorld(t)
	w.view.ClaimsFrom = w.clock.now.Add(Retention).UnixMilli()
	w.member.SetView(w.view)
	w.client.SetView(w.view)
	w.clock.run(time.Second)
	w.grant(Claim{Key: "key", Attempt: "first"})
	w.clock.run(time.Minute)
	if w.answers != 1 || !errors.Is(w.err, ErrNoMajority) || w.took > 0 || w.peers.grants != 1 {
		t.Fatalf("%d answers, %+v, %v after %v and %d askings", w.answers, w.result, w.err, w.took, w.peers.grants)
	}
}

// TestGrantAsksSeldom bounds the messages of a grant that a member refuses at
// once each time.
func TestGrantAsksSeldom(t *testing.T) {
	const most = 8
	w := newGrantWorld(t)
	w.client.SetView(w.view)
	w.grant(Claim{Key: "key", Attempt: "first"})
	w.clock.run(time.Minute)
	if w.answers != 1 || !errors.Is(w.err, ErrNoMajority) || w.peers.grants > most {
		t.Fatalf("%d answers, %+v, %v after %v and %d askings", w.answers, w.result, w.err, w.took, w.peers.grants)
	}
}

// TestMergedClaimIsNotGrantedAgain asks again for an attempt that has a rival
// from a copy: the rival may have been dispatched.
func TestMergedClaimIsNotGrantedAgain(t *testing.T) {
	member := newTestMember("a")
	ask(member, wire.ClaimRequest{Attempt: "asked"})
	member.mergeClaim(wire.ClaimRecord{Key: "key", Attempt: "dispatched"})
	if answer := ask(member, wire.ClaimRequest{Attempt: "asked"}); answer.Status != wire.ClaimHeld {
		t.Errorf("asked again, got %+v", answer)
	}
}
