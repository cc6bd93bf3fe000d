package relay

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pathtally/pathtally/internal/wire"
)

// directPeers replies to pulls from one store immediately.
type directPeers struct{ from *Store }

func (p directPeers) Send(string, wire.Message) {}

func (p directPeers) Broadcast([]string, wire.Message) {}

func (p directPeers) Call(_ string, message wire.Message, _ time.Duration, done func(wire.Message, error)) {
	done(p.from.HandlePull(message.(*wire.DocumentPull)), nil)
}

func ignore(*Document) {}

// TestFollowerConverges guards against a follower whose entries differ from the
// leader's after pulls of deltas of any length and of full documents.
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
			follower.PullNewer("leader", leader.Versions())
			if got := follower.Get("d"); got.Version != version || got.Digest != leader.Get("d").Digest {
				t.Fatalf("follower holds %+v, leader holds %+v", got, leader.Get("d"))
			}
		}
	})
}

func TestPublishRejectsOlderVersion(t *testing.T) {
	store := NewStore(Config{OnChange: ignore})
	store.Publish(NewDocument("d", 5, map[string][]byte{"a": nil}))
	for _, version := range []uint64{4, 5} {
		if store.Publish(NewDocument("d", version, nil)) {
			t.Errorf("version %d replaced version 5", version)
		}
	}
}

func TestAcceptRejectsDigestMismatch(t *testing.T) {
	store := NewStore(Config{OnChange: ignore})
	store.Publish(NewDocument("d", 1, map[string][]byte{"a": []byte("x")}))
	mismatched := &wire.DocumentReply{Name: "d", Version: 2, Base: 1, Upserts: []wire.Entry{{Key: "b"}}, Digest: 1}
	if store.accept(mismatched) || store.Get("d").Version != 1 {
		t.Error("delta with a digest mismatch was accepted")
	}
}
