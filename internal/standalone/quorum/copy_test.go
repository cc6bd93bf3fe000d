package quorum

import (
	"testing"
	"time"

	"github.com/pathtally/pathtally/internal/environment"
	"github.com/pathtally/pathtally/internal/wire"
)

// seatPeers replies to seal requests at the addresses in replies; other
// addresses are unreachable.
type seatPeers struct {
	replies map[string]*wire.ClaimSnapshot
}

func (p seatPeers) Send(string, wire.Message) {}

func (p seatPeers) Broadcast([]string, wire.Message) {}

func (p seatPeers) Call(address string, _ wire.Message, _ time.Duration, done func(wire.Message, error)) {
	if reply := p.replies[address]; reply != nil {
		done(reply, nil)
		return
	}
	done(nil, environment.ErrPeerUnreachable)
}

func seatNamed(id string) Seat { return Seat{ID: id, Identity: 1, Address: id} }

// A member that served epoch 1 must not serve epoch 3, whose previous seats are
// a, b and c, before it has a complete copy of the tables.
func TestServeAfterCopy(t *testing.T) {
	claim := wire.ClaimRecord{Key: "key", Attempt: "held"}
	snapshotAt := func(epoch uint64) *wire.ClaimSnapshot {
		return &wire.ClaimSnapshot{Epoch: epoch, Records: []wire.ClaimRecord{claim}}
	}
	cases := []struct {
		name    string
		replies map[string]*wire.ClaimSnapshot
		serves  bool
	}{
		{"no seat replies", nil, false},
		{"one seat of the previous view", map[string]*wire.ClaimSnapshot{"b": snapshotAt(2)}, false},
		{"a majority of the previous view", map[string]*wire.ClaimSnapshot{"b": snapshotAt(2), "c": snapshotAt(2)}, true},
		{"a majority that never served the previous view", map[string]*wire.ClaimSnapshot{"b": snapshotAt(1), "c": snapshotAt(1)}, false},
		// The previous view has lost its majority, but another seat copied its
		// tables before.
		{"a new seat that serves the view", map[string]*wire.ClaimSnapshot{"d": snapshotAt(3)}, true},
		{"a new seat that does not serve the view", map[string]*wire.ClaimSnapshot{"d": snapshotAt(1)}, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			member := NewMember(MemberConfig{ID: "a", Identity: 1, Clock: &fixedClock{now: time.Unix(1000, 0)}, Peers: seatPeers{replies: test.replies}})
			member.SetView(&View{Epoch: 1, Seats: []Seat{seatNamed("a")}})
			previous := []Seat{seatNamed("a"), seatNamed("b"), seatNamed("c")}
			member.SetView(&View{Epoch: 3, Seats: []Seat{seatNamed("a"), seatNamed("d"), seatNamed("e")}, Previous: previous})
			if serves := member.Serving() == 3; serves != test.serves {
				t.Errorf("member serves epoch %d after the copy", member.Serving())
			}
			if test.serves && member.claims["key"].Attempt != "held" {
				t.Error("the claim was not copied from the seats that replied")
			}
		})
	}
}
