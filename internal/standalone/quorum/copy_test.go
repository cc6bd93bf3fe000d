package quorum

import (
	"testing"
	"time"

	"github.com/pathtally/pathtally/internal/environment"
	"github.com/pathtally/pathtally/internal/wire"
)

// seatPeers answers seals for the addresses that it knows.
type seatPeers struct {
	answers map[string]*wire.ClaimSnapshot
}

func (p seatPeers) Send(string, wire.Message) {}

func (p seatPeers) Broadcast([]string, wire.Message) {}

func (p seatPeers) Call(address string, _ wire.Message, _ time.Duration, done func(wire.Message, error)) {
	if answer := p.answers[address]; answer != nil {
		done(answer, nil)
		return
	}
	done(nil, environment.ErrPeerUnreachable)
}

func seatNamed(id string) Seat { return Seat{ID: id, Identity: 1, Address: id} }

// TestCopy checks when a member that served epoch 1 may serve epoch 3, whose
// previous seats are a, b and c.
func TestCopy(t *testing.T) {
	claim := wire.ClaimRecord{Key: "key", Attempt: "held"}
	at := func(epoch uint64) *wire.ClaimSnapshot {
		return &wire.ClaimSnapshot{Epoch: epoch, Records: []wire.ClaimRecord{claim}}
	}
	cases := []struct {
		name    string
		answers map[string]*wire.ClaimSnapshot
		serves  bool
	}{
		{"nobody answers", nil, false},
		{"one of the previous view", map[string]*wire.ClaimSnapshot{"b": at(2)}, false},
		{"a majority of the previous view", map[string]*wire.ClaimSnapshot{"b": at(2), "c": at(2)}, true},
		{"a majority that never served it", map[string]*wire.ClaimSnapshot{"b": at(1), "c": at(1)}, false},
		// Seeds 10782 and 10857: the previous view had lost its majority, but
		// another seat had copied it in time.
		{"one that serves the view already", map[string]*wire.ClaimSnapshot{"d": at(3)}, true},
		{"one of the new seats that does not yet", map[string]*wire.ClaimSnapshot{"d": at(1)}, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			member := NewMember(MemberConfig{ID: "a", Identity: 1, Clock: &fixedClock{now: time.Unix(1000, 0)}, Peers: seatPeers{answers: test.answers}})
			member.SetView(&View{Epoch: 1, Seats: []Seat{seatNamed("a")}})
			previous := []Seat{seatNamed("a"), seatNamed("b"), seatNamed("c")}
			member.SetView(&View{Epoch: 3, Seats: []Seat{seatNamed("a"), seatNamed("d"), seatNamed("e")}, Previous: previous})
			if serves := member.Serving() == 3; serves != test.serves {
				t.Errorf("serves epoch %d", member.Serving())
			}
			if test.serves && member.claims["key"].Attempt != "held" {
				t.Error("the claim was not copied")
			}
		})
	}
}
