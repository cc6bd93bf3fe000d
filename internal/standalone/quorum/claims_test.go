package quorum

import (
	"testing"
	"time"

	"github.com/pathtally/pathtally/internal/environment"
	"github.com/pathtally/pathtally/internal/wire"
)

// fixedClock never runs timers.
type fixedClock struct{ now time.Time }

func (c *fixedClock) Now() time.Time { return c.now }

func (c *fixedClock) AfterFunc(time.Duration, func()) environment.Timer { return noTimer{} }

type noTimer struct{}

func (noTimer) Stop() {}

func newTestMember(id string) *Member {
	member := NewMember(MemberConfig{ID: id, Identity: 1, Clock: &fixedClock{now: time.Unix(1000, 0)}})
	member.SetView(&View{Epoch: 1, Seats: []Seat{{ID: id, Identity: 1}}})
	return member
}

func ask(member *Member, request wire.ClaimRequest) *wire.ClaimReply {
	var answer *wire.ClaimReply
	request.Epoch, request.Key = 1, "key"
	member.HandleClaim(&request, func(message wire.Message) { answer = message.(*wire.ClaimReply) })
	return answer
}

// TestMergedRivalStaysRefused is seed 1213 of the simulator: a copy held
// another attempt than the one with the majority, and when that one was
// withdrawn the key became free although the other had been dispatched.
func TestMergedRivalStaysRefused(t *testing.T) {
	member := newTestMember("a")
	member.mergeClaim(wire.ClaimRecord{Key: "key", Attempt: "loser"})
	member.mergeClaim(wire.ClaimRecord{Key: "key", Attempt: "dispatched"})
	ask(member, wire.ClaimRequest{Attempt: "loser", Operation: wire.ClaimWithdraw})
	if answer := ask(member, wire.ClaimRequest{Attempt: "repeat"}); answer.Status != wire.ClaimHeld || answer.Attempt != "dispatched" {
		t.Errorf("a repeat got %+v", answer)
	}
}

func TestClaimLifecycle(t *testing.T) {
	cases := []struct {
		name     string
		requests []wire.ClaimRequest
		status   uint8
		outcome  uint8
	}{
		{"first is granted", []wire.ClaimRequest{{Attempt: "a"}}, wire.ClaimGranted, wire.OutcomePending},
		{"same attempt again is granted", []wire.ClaimRequest{{Attempt: "a"}, {Attempt: "a"}}, wire.ClaimGranted, wire.OutcomePending},
		{"second is refused", []wire.ClaimRequest{{Attempt: "a"}, {Attempt: "b"}}, wire.ClaimHeld, wire.OutcomePending},
		{"withdrawn frees the key", []wire.ClaimRequest{{Attempt: "a"}, {Attempt: "a", Operation: wire.ClaimWithdraw}, {Attempt: "b"}}, wire.ClaimGranted, wire.OutcomePending},
		{"a withdrawn attempt that arrives late is refused", []wire.ClaimRequest{{Attempt: "a", Operation: wire.ClaimWithdraw}, {Attempt: "a"}}, wire.ClaimWithdrawn, wire.OutcomePending},
		{"another's withdrawal changes nothing", []wire.ClaimRequest{{Attempt: "a"}, {Attempt: "b", Operation: wire.ClaimWithdraw}, {Attempt: "c"}}, wire.ClaimHeld, wire.OutcomePending},
		{"complete gives the outcome", []wire.ClaimRequest{{Attempt: "a"}, {Attempt: "a", Operation: wire.ClaimComplete, Outcome: wire.OutcomeDone}, {Attempt: "b"}}, wire.ClaimHeld, wire.OutcomeDone},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			member := newTestMember("a")
			var answer *wire.ClaimReply
			for _, request := range test.requests {
				answer = ask(member, request)
			}
			if answer.Status != test.status || answer.Outcome != test.outcome {
				t.Errorf("got %+v", answer)
			}
		})
	}
}

func TestSealedMemberGrantsNothing(t *testing.T) {
	member := newTestMember("a")
	member.HandleSeal(&wire.ClaimSeal{Epoch: 2}, func(wire.Message) {})
	if answer := ask(member, wire.ClaimRequest{Attempt: "a"}); answer.Status != wire.ClaimWrongEpoch {
		t.Errorf("a sealed member answered %+v", answer)
	}
}

func TestRegisterKeepsAcceptedValue(t *testing.T) {
	member := newTestMember("a")
	accept := func(ballot uint64, value string) *wire.RegisterReply {
		var answer *wire.RegisterReply
		member.HandleAccept(&wire.RegisterAccept{Register: "r", Ballot: ballot, Epoch: 1, Value: []byte(value)}, func(message wire.Message) { answer = message.(*wire.RegisterReply) })
		return answer
	}
	accept(5, "first")
	if answer := accept(4, "older"); answer.Granted {
		t.Error("an older ballot was accepted")
	}
	member.HandlePrepare(&wire.RegisterPrepare{Register: "r", Ballot: 6, Epoch: 1}, func(message wire.Message) {
		if reply := message.(*wire.RegisterReply); !reply.Granted || string(reply.Value) != "first" {
			t.Errorf("prepare got %+v", reply)
		}
	})
}
