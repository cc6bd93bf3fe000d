package quorum

import (
	"testing"
	"time"

	"github.com/pathtally/pathtally/internal/environment"
	"github.com/pathtally/pathtally/internal/wire"
)

// fixedClock is a clock that stands still and never runs timers.
type fixedClock struct{ now time.Time }

func (c *fixedClock) Now() time.Time { return c.now }

func (c *fixedClock) AfterFunc(time.Duration, func()) environment.Timer { return noopTimer{} }

type noopTimer struct{}

func (noopTimer) Stop() {}

func newTestMember(id string) *Member {
	member := NewMember(MemberConfig{ID: id, Identity: 1, Clock: &fixedClock{now: time.Unix(1000, 0)}})
	member.SetView(&View{Epoch: 1, Seats: []Seat{{ID: id, Identity: 1}}})
	return member
}

func sendClaim(member *Member, request wire.ClaimRequest) *wire.ClaimReply {
	var reply *wire.ClaimReply
	request.Epoch, request.Key = 1, "key"
	member.HandleClaim(&request, func(message wire.Message) { reply = message.(*wire.ClaimReply) })
	return reply
}

// Copied records may hold different attempts: when one of them is withdrawn, the
// key must not become free, since the other may have been dispatched.
func TestMergeKeepsConflictingAttempt(t *testing.T) {
	member := newTestMember("a")
	member.mergeClaim(wire.ClaimRecord{Key: "key", Attempt: "loser"})
	member.mergeClaim(wire.ClaimRecord{Key: "key", Attempt: "dispatched"})
	sendClaim(member, wire.ClaimRequest{Attempt: "loser", Operation: wire.ClaimWithdraw})
	if reply := sendClaim(member, wire.ClaimRequest{Attempt: "repeat"}); reply.Status != wire.ClaimHeld || reply.Attempt != "dispatched" {
		t.Errorf("a repeat after the withdrawal got %+v, want the dispatched attempt to hold the key", reply)
	}
}

func TestClaimLifecycle(t *testing.T) {
	cases := []struct {
		name     string
		requests []wire.ClaimRequest
		status   uint8
		outcome  uint8
	}{
		{"first attempt is granted", []wire.ClaimRequest{{Attempt: "a"}}, wire.ClaimGranted, wire.OutcomePending},
		{"same attempt again is granted", []wire.ClaimRequest{{Attempt: "a"}, {Attempt: "a"}}, wire.ClaimGranted, wire.OutcomePending},
		{"second attempt is refused", []wire.ClaimRequest{{Attempt: "a"}, {Attempt: "b"}}, wire.ClaimHeld, wire.OutcomePending},
		{"withdrawal frees the key", []wire.ClaimRequest{{Attempt: "a"}, {Attempt: "a", Operation: wire.ClaimWithdraw}, {Attempt: "b"}}, wire.ClaimGranted, wire.OutcomePending},
		{"grant after withdrawal is refused", []wire.ClaimRequest{{Attempt: "a", Operation: wire.ClaimWithdraw}, {Attempt: "a"}}, wire.ClaimWithdrawn, wire.OutcomePending},
		{"withdrawal of another attempt keeps the claim", []wire.ClaimRequest{{Attempt: "a"}, {Attempt: "b", Operation: wire.ClaimWithdraw}, {Attempt: "c"}}, wire.ClaimHeld, wire.OutcomePending},
		{"completed claim returns the outcome", []wire.ClaimRequest{{Attempt: "a"}, {Attempt: "a", Operation: wire.ClaimComplete, Outcome: wire.OutcomeDone}, {Attempt: "b"}}, wire.ClaimHeld, wire.OutcomeDone},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			member := newTestMember("a")
			var reply *wire.ClaimReply
			for _, request := range test.requests {
				reply = sendClaim(member, request)
			}
			if reply.Status != test.status || reply.Outcome != test.outcome {
				t.Errorf("unexpected reply to the last request: %+v", reply)
			}
		})
	}
}

func TestSealedMemberRejectsClaims(t *testing.T) {
	member := newTestMember("a")
	member.HandleSeal(&wire.ClaimSeal{Epoch: 2}, func(wire.Message) {})
	if reply := sendClaim(member, wire.ClaimRequest{Attempt: "a"}); reply.Status != wire.ClaimWrongEpoch {
		t.Errorf("sealed member replied %+v, want the wrong-epoch status", reply)
	}
}

func TestRegisterKeepsAcceptedValue(t *testing.T) {
	member := newTestMember("a")
	accept := func(ballot uint64, value string) *wire.RegisterReply {
		var reply *wire.RegisterReply
		member.HandleAccept(&wire.RegisterAccept{Register: "r", Ballot: ballot, Epoch: 1, Value: []byte(value)}, func(message wire.Message) { reply = message.(*wire.RegisterReply) })
		return reply
	}
	accept(5, "first")
	if reply := accept(4, "older"); reply.Granted {
		t.Error("a smaller ballot than the one accepted was granted")
	}
	member.HandlePrepare(&wire.RegisterPrepare{Register: "r", Ballot: 6, Epoch: 1}, func(message wire.Message) {
		if reply := message.(*wire.RegisterReply); !reply.Granted || string(reply.Value) != "first" {
			t.Errorf("prepare with a greater ballot got %+v, want the accepted value", reply)
		}
	})
}
