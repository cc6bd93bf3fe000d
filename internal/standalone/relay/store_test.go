package relay

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pathtally/pathtally/internal/wire"
)

// directPeers answers pulls from one store at once.
type directPeers struct{ from *Store }

func (p directPeers) Send(string, wire.Message) {}

func (p directPeers) Broadcast([]string, wire.Message) {}

func (p directPeers) Call(_ string, message wire.Message, _ time.Duration, done func(wire.Message, error)) {
	done(p.from.HandlePull(message.(*wire.DocumentPull)), nil)
}

func ignore(*Document) {}

// TestFollowerConverges has a follower look at random moments while versions
// are published, so that it pulls deltas of every length and wholes, and
// checks that it always holds exactly what the leader does.
func TestFollowerConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		leader := NewStore(Config{OnChange: ignore})
		follower := NewStore(Config{Peers: directPeers{from: leader}, OnChange: ignore})
		entries := map[string][]byte{}
		version := uint64(0)
		for range rapid.IntRange(1, 200).Draw(t, "versions") {
			version += uint64(rapid.IntRange(1, 3).Draw(t, "step"))
			entries = maps.Clone(entries)
			key := fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "key"))
			if rapid.Bool().Draw(t, "remove") {
				delete(entries, key)
			} else {
				entries[key] = []byte(fmt.Sprint(version))
			}
			leader.Publish(NewDocument("d", version, entries))
			if !rapid.Bool().Draw(t, "look") {
				continue
			}
			follower.Observe("leader", leader.Versions())
			if got := follower.Get("d"); got.Version != version || got.Digest != leader.Get("d").Digest {
				t.Fatalf("the follower has %+v, the leader %+v", got, leader.Get("d"))
			}
		}
	})
}

func TestOlderVersionIsRefused(t *testing.T) {
	store := NewStore(Config{OnChange: ignore})
	store.Publish(NewDocument("d", 5, map[string][]byte{"a": nil}))
	for _, version := range []uint64{4, 5} {
		if store.Publish(NewDocument("d", version, nil)) {
			t.Errorf("version %d replaced version 5", version)
		}
	}
}

func TestDeltaWithAnotherDigestIsRefused(t *testing.T) {
	store := NewStore(Config{OnChange: ignore})
	store.Publish(NewDocument("d", 1, map[string][]byte{"a": []byte("x")}))
	forged := &wire.DocumentReply{Name: "d", Version: 2, Base: 1, Upserts: []wire.Entry{{Key: "b"}}, Digest: 1}
	if store.accept(forged) || store.Get("d").Version != 1 {
		t.Error("a delta with a wrong digest was taken")
	}
}
